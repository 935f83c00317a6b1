/** Bundles the fault soak and its stand-ins into `dist/soak-main.cjs` and `dist/soak-standin.cjs`. */
import {build} from 'esbuild';

await build({
	entryPoints: {'soak-main': 'soak/main.ts', 'soak-standin': 'soak/standin.ts'},
	outdir: 'dist',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	logLevel: 'warning',
});
