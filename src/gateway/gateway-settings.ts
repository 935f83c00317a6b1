/** Settings of a gateway node, in TOML. */
import {readFile} from 'node:fs/promises';
import {Left, type Either} from 'purify-ts';
import * as z from 'zod';
import {readErrorMessage, waitFor, type Clock} from '../common/index.js';
import {checkToml, type SettingsProblem} from '../settings/index.js';

const address = z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, {error: 'write IP:PORT, such as "10.0.0.5:8080"'});
const name = z.string().min(1, {error: 'write a name in quotes'});
const port = z.int().min(1).max(65_535);
const seconds = z.number().min(0, {error: 'write a number of seconds, 0 or more'});

const gatewaySchema = z.strictObject({
	box: name,
	region: name,
	availability_zone: name,
	listen: z.strictObject({
		callers: address, ready: address, addresses: address, peers: address,
	}),
	heartbeat_port: port,
	metrics_port: port,
	seeds: z.array(address).default([]),
	first_start: z.boolean().default(false),
	cpu: z.strictObject({
		share: z.number().gt(0, {error: 'write the part of a core that the process gets, above 0'}).default(1),
		cores: z.number().gt(0, {error: 'write how many cores that part is taken of, above 0'}).default(1),
	}).prefault({}),
	store: z.strictObject({address}),
	stop: z.strictObject({grace_seconds: seconds}),
	retry: z.strictObject({ratio: z.number().min(0), slack: z.number().min(0), window_seconds: seconds}),
	evacuations: z.strictObject({
		apply_within_ms: z.number().gt(0, {error: 'write a number of milliseconds above 0'}).default(5000),
	}).optional(),
	cold_servers: z.strictObject({
		overage: z.number().gt(0, {error: 'write the allowed ratio of requests to the rate of a cold server, above 0'}),
		slack: z.number().min(0, {error: 'write the number of requests allowed on top of that ratio, 0 or more'}).default(0),
	}).optional(),
	organisation_shares: z.strictObject({
		memory_seconds: z.number().gt(0, {error: 'write a number of seconds above 0, such as 3'}).max(60),
	}).optional(),
	buffers: z.strictObject({
		memory_share: z.number().gt(0, {error: 'write the share of the memory for buffered bytes, above 0'}).max(0.5, {error: 'write a share of at most 0.5: the process needs the rest'}).default(0.1),
		memory_mb: z.number().gt(0, {error: 'write the memory of the box in megabytes, above 0'}),
	}).optional(),
	address_lifetime_seconds: z.number().min(1).max(60).default(3),
	log: z.strictObject({
		level: z.enum(['debug', 'info', 'warn', 'error', 'silent'], {error: 'write one of "debug", "info", "warn", "error", "silent"'}).default('info'),
	}).prefault({}),
});

/** Settings of a gateway node, as written in the file. */
export type GatewaySettings = z.infer<typeof gatewaySchema>;

/** Checks the text of a settings file. */
export function parseGatewaySettings(text: string): Either<SettingsProblem[], GatewaySettings> {
	return checkToml(text, gatewaySchema);
}

/** Number of attempts to read a settings file at a start, and the time between two, in milliseconds. */
const maxStartReads = 10;
const startReadInterval = 100;

/** Reads and checks a settings file at a start. One that is invalid is read again, since it may just be rewritten. */
export async function loadStartSettings(path: string, clock: Clock): Promise<Either<SettingsProblem[], GatewaySettings>> {
	for (let reads = 1; ; reads++) {
		const loaded = await loadGatewaySettings(path);
		if (loaded.isRight() || reads === maxStartReads) {
			return loaded;
		}

		await waitFor(clock, startReadInterval);
	}
}

/** Reads and checks a settings file. */
export async function loadGatewaySettings(path: string): Promise<Either<SettingsProblem[], GatewaySettings>> {
	try {
		return parseGatewaySettings(await readFile(path, 'utf8'));
	} catch (error) {
		return Left([{key: '', value: path, mend: `give the path of a file that can be read: ${readErrorMessage(error)}`}]);
	}
}
