/** Bundles the program into one CommonJS file, `dist/cresshook.cjs`. */
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

await build({
	entryPoints: {cresshook: 'src/main.ts'},
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
