import { ROLES } from './roles.ts';

const [role = '', size = '0'] = process.argv.slice(2);

// Node's own share is measured by processes that load nothing else.
const figures = ROLES[role]?.measure(Number(size)) ?? {};
process.send?.(figures);
