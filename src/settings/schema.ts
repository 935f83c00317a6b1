/** Schema of the settings file: types, ranges and defaults. */
import * as z from 'zod';

const ipNumber = z.union([z.ipv4(), z.ipv6()], {error: 'write an IP number such as "10.0.0.5"; names are not looked up'});
const port = z.int({error: 'write a whole number from 0 to 65535; 0 takes a free port'}).min(0).max(65_535).default(0);
const name = z.string({error: 'write a name in quotes'})
	.regex(/^[a-z\d][a-z\d-]{0,62}$/, {error: 'use 1 to 63 lower-case letters, digits and hyphens, beginning with a letter or digit'});

function defineWholeNumber(min: number, max: number, defaultValue: number) {
	const error = `write a whole number from ${min} to ${max}`;
	return z.int({error}).min(min, {error}).max(max, {error}).default(defaultValue);
}

const team = z.strictObject({
	partner: name,
	token_hash: z.string().regex(/^[a-f\d]{64}$/, {error: 'write the SHA-256 of the token as 64 hexadecimal digits; `cresshook settings hash` makes one'}),
});

const entry = z.strictObject({
	address_lifetime_seconds: defineWholeNumber(1, 3600, 30),
	run_key_lifetime_seconds: defineWholeNumber(10, 86_400, 600),
	body_limit_mebibytes: defineWholeNumber(1, 64, 16),
	held_bodies_mebibytes: defineWholeNumber(16, 4096, 256),
	kept_outcomes_mebibytes: defineWholeNumber(1, 4096, 64),
	request_limit: defineWholeNumber(1, 100_000, 2000),
	retry_share: z.number({error: 'write a number from 0 to 1'})
		.min(0, {error: 'write a number from 0 to 1'})
		.max(1, {error: 'write a number from 0 to 1'}).default(0.1),
}).superRefine((value, context) => {
	if (value.run_key_lifetime_seconds < value.address_lifetime_seconds) {
		context.addIssue({
			code: 'custom',
			path: ['run_key_lifetime_seconds'],
			params: {value: value.run_key_lifetime_seconds},
			message: `make it at least address_lifetime_seconds (${value.address_lifetime_seconds}), else keys end before the addresses they came with`,
		});
	}
});

/** Schema of a settings file, with keys as written in TOML. */
export const settingsSchema = z.strictObject({
	box: name,
	region: name,
	availability_zone: name,
	callers: z.strictObject({host: ipNumber, port}),
	operators: z.strictObject({host: ipNumber, port, teams: z.array(team).default([])}),
	nodes: z.strictObject({
		host: ipNumber,
		port,
		secret: z.string({error: 'write the secret in quotes'}).min(16, {error: 'use at least 16 characters'}),
	}),
	platform: z.strictObject({
		url: z.url({protocol: /^https?$/, error: 'write a URL such as "http://10.0.0.1:6443"'}),
	}),
	entry: entry.prefault({}),
	log: z.strictObject({
		level: z.enum(['debug', 'info', 'warn', 'error', 'silent'], {error: 'write one of "debug", "info", "warn", "error", "silent"'}).default('info'),
	}).prefault({}),
	metrics: z.strictObject({host: ipNumber, port: port.default(8125)}).optional(),
});

/** A parsed settings file, before its keys are converted to camel case. */
export type SettingsFile = z.infer<typeof settingsSchema>;
