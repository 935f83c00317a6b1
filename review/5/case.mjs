/** A node that watches the store freezes, a runner leaves without a word meanwhile, and others join when the node has woken up. */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	createCall, names, pause, runCase,
} from '../lib-2/fleet.mjs';
import {bounds} from '../lib-2/nodes.mjs';

/** Requests a second, as on the users' sheet. */
const rate = 33;

/** How long the node stands still, and when in that time the runner leaves, in milliseconds. */
const freezeTime = 2600;
const leaveAfter = 20;

/** Runners that join after the node has woken up, and the time between two, in milliseconds. */
const joining = 4;
const joinGap = 420;

/** How long a runner serves on beyond `drainTimeoutMs`, in milliseconds. */
const servesOnFor = 3000;

/** Number of times that a node freezes, one after another. */
const rounds = 8;

/** Time between two rounds, in milliseconds. */
const roundGap = 1800;

/** Whether the disruption takes place. */
const isTroubled = process.env.TROUBLE !== '0';

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async fleet => {
	await fleet.start();
	const {list} = fleet.nodes;
	const watchers = await fleet.nodes.listWatchers();
	const departures = [];

	const playRound = async frozen => {
		if (isTroubled) {
			frozen.process.kill('SIGSTOP');
			fleet.note('frozen (node_freeze)', frozen.name);
		}

		await pause(leaveAfter);
		const leaving = fleet.listBusiest(names.model).find(runner => !runner.hasLeft);
		leaving.hasLeft = true;
		const gone = fleet.store.remove('servers', leaving.id);
		fleet.note('the store has acknowledged that this runner is gone', leaving.id);
		const ended = (async () => {
			await pause(bounds.drainTimeout + servesOnFor);
			leaving.stop();
			fleet.note('the runner that left has ended', leaving.id);
		})();
		await pause(freezeTime - leaveAfter);
		if (isTroubled) {
			frozen.process.kill('SIGCONT');
			fleet.note('woken up', frozen.name);
		}

		for (let count = 0; count < joining; count++) {
			await pause(joinGap);
			const runner = await fleet.addRunner(names.model, 'stream', {zone: frozen.zone});
			fleet.note('a runner has joined (scale_out)', runner.id);
		}

		departures.push({leaving, gone, ended});
	};

	fleet.sendSteadily(rate, () => list, createCall);
	await pause(bounds.contact);
	const scheduler = await fleet.nodes.findScheduler(names.model);
	const frozen = watchers.find(({name}) => name === scheduler) ?? watchers[0];
	fleet.note('nodes that watch the store, and the one that schedules the model runners', [...watchers.map(({name}) => name), scheduler]);
	// From here on clients use the other nodes, which are in touch all the while.
	fleet.stopSending();
	const others = list.filter(node => node !== frozen);
	fleet.sendSteadily(rate, () => others, createCall);
	for (let round = 0; round < rounds; round++) {
		await pause(roundGap);
		await playRound(frozen);
	}

	await Promise.all(departures.map(async ({ended}) => ended));
	fleet.stopSending();
	await pause(3000);
	fleet.noteLogs(['server_added', 'server_gone', 'server_doubtful', 'watcher_changed', 'node_lost', 'own_gap']);
	return departures.flatMap(({leaving, gone}) => leaving.runs
		.filter(run => run.at > gone + bounds.drainTimeout)
		.map(run => `request ${run.id} reached ${leaving.id} ${run.at - gone} ms after the store had acknowledged that it is gone; ${run.end}`));
});
