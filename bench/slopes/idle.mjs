// Reports the memory of this process once it has loaded what it is told to.
if (process.argv[2]) await import(process.argv[2]);
await new Promise((resolve) => setTimeout(resolve, 1_000));
process.send({ rssBytes: process.memoryUsage().rss });
