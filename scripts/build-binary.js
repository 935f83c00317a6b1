/** Makes the one file `dist/cresshook`: the bundle inside a copy of the Node.js that runs this script. */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, readFileSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {inject} from 'postject';

const blobPath = 'dist/cresshook.blob';
const binaryPath = 'dist/cresshook';

/** The mark that Node.js looks for in its own file; from its documentation of single executable applications. */
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

writeFileSync('dist/sea-config.json', JSON.stringify({
	main: 'dist/cresshook.cjs', output: blobPath, disableExperimentalSEAWarning: true, useSnapshot: false,
}));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea-config.json'], {stdio: 'inherit'});
copyFileSync(process.execPath, binaryPath);
chmodSync(binaryPath, 0o755);
await inject(binaryPath, 'NODE_SEA_BLOB', readFileSync(blobPath), {sentinelFuse: fuse});
