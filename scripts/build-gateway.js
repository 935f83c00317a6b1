/** Bundles the gateway, small and without what only other commands use, into `target/cresshook.cjs`. */
import {build} from 'esbuild';

await build({
	entryPoints: {cresshook: 'src/gateway-main.ts'},
	outdir: 'target',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minify: true,
	logLevel: 'warning',
});
