/** Runners leave without a word while the three nodes that watch the store are killed. */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	createCall, names, pause, runCase,
} from '../lib-2/fleet.mjs';
import {bounds} from '../lib-2/nodes.mjs';

/** Requests a second, as on the users' sheet. */
const rate = 33;

/** How long the killed machines stay dark, and how long a runner serves on beyond `drainTimeoutMs`, in milliseconds. */
const darkTime = 2000;
const servesOnFor = 1000;

/** Whether the disruption takes place. */
const isTroubled = process.env.TROUBLE !== '0';

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async fleet => {
	await fleet.start();
	let usable = fleet.nodes.list;
	fleet.sendSteadily(rate, () => usable, createCall);
	// All nodes are in touch from here on.
	await pause(bounds.contact + 3000);

	const watchers = await fleet.nodes.listWatchers();
	fleet.note('nodes that watch the store', watchers.map(({name}) => name));
	if (isTroubled) {
		for (const node of watchers) {
			node.process.kill('SIGKILL');
		}

		usable = fleet.nodes.list.filter(node => !watchers.includes(node));
		fleet.note('killed at the same moment (herd_kill)', watchers.map(({name}) => name));
	}

	const leaving = [fleet.findBusiest(names.app), fleet.findBusiest(names.model)].map(runner => ({runner, gone: fleet.store.remove('servers', runner.id)}));
	fleet.note('the store has acknowledged that these runners are gone', leaving.map(({runner}) => runner.id));
	const restarted = (async () => {
		await pause(darkTime);
		if (isTroubled) {
			for (const node of watchers) {
				await node.hasEnded;
				fleet.nodes.launch(node);
			}

			fleet.note('the killed nodes are started again');
		}
	})();
	await pause(bounds.drainTimeout + servesOnFor);
	for (const {runner} of leaving) {
		runner.stop();
	}

	fleet.note('the runners that left have ended');
	await restarted;
	await pause(1000);
	fleet.stopSending();
	await pause(3000);
	fleet.noteLogs(['server_gone', 'server_doubtful', 'watcher_changed', 'node_lost', 'own_gap']);
	// All that was sent since the kill went to nodes that were in touch all the while.
	return leaving.flatMap(({runner, gone}) => runner.runs
		.filter(run => run.at > gone + bounds.drainTimeout)
		.map(run => `request ${run.id} reached ${runner.id} ${run.at - gone} ms after the store had acknowledged that it is gone; ${run.end}`));
});
