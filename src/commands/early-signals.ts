/**
 * Keeps a request to reload from ending a process that is still starting. Imported
 * before anything else; other commands end when their terminal is closed.
 */
const SERVICE_ROLES = new Set(['entry', 'sidecar']);

if (process.argv.slice(2).some(arg => SERVICE_ROLES.has(arg))) {
  process.on('SIGHUP', () => undefined);
}
