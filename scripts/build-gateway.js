/**
 * Bundles the gateway, small and without what only other commands use, into `target/`, with its code cache.
 *
 * A node that was killed is back only when its program has loaded: what is not in the
 * bundle need not be read, compiled and kept.
 */
import {execFileSync} from 'node:child_process';
import {copyFileSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

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
		builder.onResolve({filter: /^[^./]/}, ({path}) => {
			const file = replacements[path];
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
	outdir: 'target',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minify: true,
	plugins: [replacePackages],
	logLevel: 'warning',
});

copyFileSync('scripts/gateway-loader.cjs', 'target/cresshook.cjs');

// V8 takes a cache only under the flags it was written with: those of the deploy file.
const {flags} = /run = "node (?<flags>.*?) target/.exec(readFileSync('deploy/system.toml', 'utf8')).groups;
execFileSync(process.execPath, [...flags.split(' '), 'scripts/write-code-cache.cjs'], {stdio: ['ignore', 'ignore', 'inherit']});
