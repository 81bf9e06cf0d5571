// Loads the module named in the first argument, if any, and reports the resident memory of this process.
if (process.argv[2]) await import(process.argv[2]);
await new Promise((resolve) => setTimeout(resolve, 1_000));
process.send({ rssBytes: process.memoryUsage().rss });
