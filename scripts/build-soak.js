/** Bundles the fault soak and its stand-ins into `dist/soak-main.cjs`, `dist/soak-standin.cjs` and `dist/soak-detour.cjs`. */
import {build} from 'esbuild';

await build({
	entryPoints: {'soak-main': 'soak/main.ts', 'soak-standin': 'soak/standin.ts', 'soak-detour': 'soak/detour.ts'},
	outdir: 'dist',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	logLevel: 'warning',
});
