/** The gateway as the deploy file runs it: bundled, in a process of its own. */
import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {
	findFreePorts, formatSettings, send, waitUntil, type NodeSettings,
} from './gateways.js';
import {LogCapture} from './logs.js';
import {processHost} from './process-host.js';

/** Time within which a process has to be ready, in milliseconds. */
const startLimit = 8000;

/** A built program and the settings files of its processes, in a temporary folder. */
export class GatewayProgram {
	readonly #folder = mkdtempSync(join(tmpdir(), 'cresshook-gateway-'));
	readonly #build: string;
	readonly #processes: GatewayProcess[] = [];

	/** Uses a program that was built before if its folder is given. */
	constructor(build?: string) {
		this.#build = build ?? this.#folder;
		if (build === undefined) {
			execFileSync(process.execPath, ['scripts/build-gateway.js', this.#folder]);
		}
	}

	/** Starts a process without waiting for it. */
	async spawn(changes: Partial<NodeSettings> & Pick<NodeSettings, 'storeAddress'>): Promise<GatewayProcess> {
		const settings = {
			index: this.#processes.length, host: processHost, seeds: [], isFirstStart: false, retrySlack: 100, ports: await findFreePorts(6), ...changes,
		};
		const file = join(this.#folder, `node-${settings.index}.toml`);
		writeFileSync(file, formatSettings(settings));
		const started = new GatewayProcess([join(this.#build, 'cresshook.cjs'), 'gateway', '--settings', file, '--early-callers', `${settings.host}:${settings.ports[0]}`], settings, file);
		this.#processes.push(started);
		return started;
	}

	/** Starts a process and waits until it is ready. */
	async start(changes: Parameters<GatewayProgram['spawn']>[0]): Promise<GatewayProcess> {
		const started = await this.spawn(changes);
		await started.waitUntilReady();
		return started;
	}

	/** Kills all processes. */
	async killAll(): Promise<void> {
		await Promise.all(this.#processes.splice(0).map(async each => each.kill()));
	}

	/** Removes the program. */
	remove(): void {
		rmSync(this.#folder, {recursive: true});
	}
}

/** One process. */
export class GatewayProcess {
	readonly log = new LogCapture();
	readonly #child: ChildProcess;
	readonly #settings: NodeSettings;

	constructor(words: string[], settings: NodeSettings, readonly settingsFile: string) {
		this.#settings = settings;
		this.#child = spawn(process.execPath, words, {stdio: ['ignore', 'pipe', 'inherit']});
		this.#child.stdout!.pipe(this.log);
	}

	/** `IP:PORT` for callers. */
	get callers(): string {
		return this.#formatAddress(0);
	}

	/** `IP:PORT` that resolves the addresses of nodes. */
	get addresses(): string {
		return this.#formatAddress(2);
	}

	/** `IP:PORT` of the readiness check. */
	get ready(): string {
		return this.#formatAddress(1);
	}

	/** `IP:PORT` for heartbeats. */
	get heartbeats(): string {
		return this.#formatAddress(4);
	}

	/** Exit code, or the signal that ended the process; undefined while it runs. */
	get end(): number | string | undefined {
		return this.#child.exitCode ?? this.#child.signalCode ?? undefined;
	}

	/** Returns the resident memory of the process, in mebibytes; 0 when it has ended. */
	readMemory(): number {
		return this.#readStatus('VmRSS');
	}

	/** Returns the highest resident memory of the process so far, in mebibytes; 0 when it has ended. */
	readPeakMemory(): number {
		return this.#readStatus('VmHWM');
	}

	signal(name: NodeJS.Signals): void {
		this.#child.kill(name);
	}

	/** Waits until the callers' port is open: the loader opens it before it loads the program. */
	async waitUntilListening(): Promise<void> {
		const [host, port] = this.callers.split(':');
		let isOpen = false;
		while (!isOpen && this.end === undefined) {
			isOpen = await new Promise<boolean>(resolve => {
				const socket = connect(Number(port), host);
				socket.once('connect', () => {
					socket.destroy();
					resolve(true);
				});
				socket.once('error', () => {
					resolve(false);
				});
			});
		}
	}

	async waitUntilReady(): Promise<void> {
		const limit = Date.now() + startLimit;
		while (await this.#readReadiness() !== 200) {
			if (Date.now() > limit || this.end !== undefined) {
				throw new Error(`the process is not ready, its end: ${this.end}`);
			}
		}
	}

	/** Returns the longest time in milliseconds that the readiness check took to answer until `isOver` returned true. */
	async measureLongestBlock(isOver: () => boolean): Promise<number> {
		let longest = 0;
		while (!isOver()) {
			longest = Math.max(longest, await this.measureReadiness());
		}

		return longest;
	}

	/** Returns the most processor time in milliseconds that the event loop used while the readiness check waited for its answer, until `isOver` returned true: other processes do not count. */
	async measureLongestWork(isOver: () => boolean): Promise<number> {
		let longest = 0;
		while (!isOver() && this.end === undefined) {
			const before = this.#readProcessorTime();
			await this.#readReadiness();
			longest = Math.max(longest, this.#readProcessorTime() - before);
		}

		return longest;
	}

	/** Returns the time in milliseconds that the readiness check took to answer. */
	async measureReadiness(): Promise<number> {
		const askedAt = performance.now();
		await this.#readReadiness();
		return performance.now() - askedAt;
	}

	/** Calls back once when the process has ended. */
	onEnd(callback: () => void): void {
		this.#child.once('exit', callback);
	}

	async waitForEnd(limit: number): Promise<number | string | undefined> {
		await waitUntil(() => this.end !== undefined, limit);
		return this.end;
	}

	async kill(): Promise<void> {
		if (this.end === undefined) {
			this.#child.kill('SIGKILL');
			await once(this.#child, 'exit');
		}
	}

	#readStatus(field: string): number {
		if (this.end !== undefined) {
			return 0;
		}

		const status = readFileSync(`/proc/${this.#child.pid}/status`, 'utf8');
		return Number(new RegExp(`^${field}:\\s+(?<kibibytes>\\d+) kB$`, 'mu').exec(status)?.groups?.kibibytes ?? 0) / 1024;
	}

	async #readReadiness(): Promise<number> {
		const {status} = await send(this.ready, {path: '/v1/readyz', method: 'GET'});
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
		return status;
	}

	/** Processor time of the main thread, in milliseconds. */
	#readProcessorTime(): number {
		try {
			const [nanoseconds] = readFileSync(`/proc/${this.#child.pid}/schedstat`, 'utf8').split(' ');
			return Number(nanoseconds) / 1e6;
		} catch {
			// The process has ended.
			return 0;
		}
	}

	#formatAddress(port: number): string {
		return `${this.#settings.host}:${this.#settings.ports[port]}`;
	}
}
