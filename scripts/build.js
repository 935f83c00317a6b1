/**
 * Bundles the program into one CommonJS file, `dist/cresshook.cjs`.
 *
 * With words, also bundles the benches of those names: `node scripts/build.js path`.
 */
import process from 'node:process';
import {build} from 'esbuild';

const optionalNestPeers = [
	'@nestjs/websockets',
	'@nestjs/websockets/*',
	'@nestjs/microservices',
	'@nestjs/microservices/*',
	'@nestjs/platform-express',
	'@fastify/multipart',
	'@fastify/static',
	'@fastify/view',
	'class-transformer',
	'class-transformer/*',
	'class-validator',
];

const benches = Object.fromEntries(process.argv.slice(2).map(name => [`bench-${name}`, `bench/${name}.ts`]));

await build({
	entryPoints: {cresshook: 'src/main.ts', ...benches},
	outdir: 'dist',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	keepNames: true,
	external: [...optionalNestPeers, 'unix-dgram'],
	logLevel: 'warning',
});
