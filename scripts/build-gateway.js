/**
 * Bundles the gateway, small and without what only other commands use, with its code cache.
 *
 * Writes to `target/`, or to the folder that is given: `node scripts/build-gateway.js FOLDER`.
 *
 * A node that was killed is back only when its program has loaded: what is not in the
 * bundle need not be read, compiled and kept.
 */
import {execFileSync} from 'node:child_process';
import {copyFileSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';
import {replaceAssert} from './replace-assert.js';

const [folder = 'target'] = process.argv.slice(2);

const replacements = {
	undici: 'undici-parts.cjs',
	'prom-client': 'prom-client-parts.cjs',
	'@fastify/ajv-compiler': 'no-schemas.cjs',
	'@fastify/fast-json-stringify-compiler': 'no-schemas.cjs',
};

/** Puts a file of this folder in the place of a package's index; paths inside of the package stay. */
const replacePackages = {
	name: 'replace-packages',
	setup(builder) {
		builder.onResolve({filter: /^[^./]/}, ({path: specifier}) => {
			const file = replacements[specifier];
			return file === undefined ? undefined : {path: fileURLToPath(new URL(file, import.meta.url))};
		});
		// No node speaks HTTP/2, and to load Node.js's implementation took 12 to 20 ms of each start.
		builder.onResolve({filter: /^node:http2$/}, ({importer}) => /\/(?:undici|fastify)\//.test(importer)
			? {path: fileURLToPath(new URL('no-http2.cjs', import.meta.url))}
			: undefined);
	},
};

await build({
	entryPoints: {gateway: 'src/gateway-main.ts'},
	outdir: folder,
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minify: true,
	plugins: [replacePackages, replaceAssert],
	logLevel: 'warning',
});

copyFileSync('scripts/gateway-loader.cjs', path.join(folder, 'cresshook.cjs'));

// V8 takes a cache only under the flags it was written with: those of the deploy file.
const {flags} = /run = "node (?<flags>.*?) target/.exec(readFileSync('deploy/system.toml', 'utf8')).groups;
execFileSync(process.execPath, [...flags.split(' '), 'scripts/write-code-cache.cjs', folder], {stdio: ['ignore', 'ignore', 'inherit']});
