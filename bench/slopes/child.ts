import { ROLES } from './roles.ts';

async function main(): Promise<void> {
  const [role = '', size = '0'] = process.argv.slice(2);
  process.send?.((await ROLES[role]?.measure(Number(size))) ?? {});
}

void main();
