/** Formats the status of a node as text. */
import type {NodeStatus} from '../gateway/index.js';
import {formatPosition} from '../routing/index.js';

type ServiceWork = NodeStatus['services'][number];
type ServerWork = ServiceWork['servers'][number];
type NodeEntry = NodeStatus['node'];

/** Formats the status that a node returns. */
export function formatStatus(status: NodeStatus): string {
	const {
		node, phase, isWatcher, isSourceOut, sources, calls, servers, evacuations = [], services, nodes, omitted,
	} = status;
	const lines = [
		`${node.name} (life ${node.life}, ${node.availabilityZone}): ${phase}, ${calls} calls in progress`,
		`configuration ${node.configVersion}, servers' revision ${formatRevision(node)}; ${servers.usable} servers take new work, ${servers.foreign} entries of other writers`,
		`${isWatcher ? 'follows the store' : 'is told by other nodes'}${isSourceOut ? ', which does not answer' : ''}`,
		...sources.map(source => formatSource(source)),
		...evacuations.map(evacuation => formatEvacuation(evacuation)),
		...services.flatMap(service => formatService(service)),
		...omitted.services > 0 ? [`and ${omitted.services} more services`] : [],
		`nodes: ${nodes.live} live of ${nodes.known} known`,
		...nodes.listed.map(other => formatNode(other, node)),
		...omitted.nodes > 0 ? [`  and ${omitted.nodes} more`] : [],
	];
	return `${lines.join('\n')}\n`;
}

function formatSource({items, heardHere, heardByAny}: NodeStatus['sources'][number]): string {
	const here = heardHere === undefined ? '' : `, ${heardHere} ms ago here`;
	return `  ${items}: store heard ${heardByAny === undefined ? 'by no node yet' : `${heardByAny} ms ago by any node`}${here}`;
}

function formatEvacuation({zone, position, age, origin, keptFor}: NonNullable<NodeStatus['evacuations']>[number]): string {
	const kept = keptFor === undefined ? '' : `; the restored store has lost it, kept for ${keptFor} ms`;
	return `  zone ${zone} is being evacuated: known for ${age} ms, position ${formatPosition(position)}, from ${origin}${kept}`;
}

function formatService({
	service, decider, plans, waiting, retries, usableServers, servers,
}: ServiceWork): string[] {
	const scheduler = decider.isSelf ? `${decider.name}, this node` : `${decider.name} (life ${decider.life}); ask ${decider.host} for all of its work`;
	const usage = retries === undefined ? '' : `${retries.retries} of ${retries.requests} requests in the window, memory of ${Math.round(retries.memory * 100)}% of the fleet`;
	return [
		`service ${service}: decided by ${scheduler}`,
		`  ${plans} plans in progress${decider.isSelf ? '' : ' as this node knows'}, ${waiting} prompts wait to be read`,
		...retries === undefined ? [] : [`  retries: ${retries.left} left; ${usage}`],
		`  ${usableServers} servers take new work${servers.length < usableServers ? `, ${servers.length} of them below` : ''}`,
		...servers.map(server => formatServer(server)),
	];
}

function formatServer(work: ServerWork): string {
	const health = [
		...work.restsFor > 0 ? [`left alone for ${work.restsFor} ms`] : [],
		...work.requestLimit === undefined ? [] : [`takes ${work.requestLimit} requests a second`],
		...work.coldFor === undefined ? [] : [`cold for ${work.coldFor} ms`],
		...work.isDoubtful ? ['avoided for failures'] : [],
		...work.spoiled > 0 ? [`${Math.round(work.spoiled * 100)}% of its last ${work.answers} answers failed`] : [],
	];
	const reading = work.readFor > 0 ? `, reads for ${work.readFor} ms` : '';
	return `    ${work.server}: ${work.work} of ${work.slots} places, ${work.writers} write, ${work.heldTokens} tokens held${reading}; ${health.length === 0 ? 'well' : health.join(', ')}`;
}

function formatNode(other: NodeEntry, self: NodeEntry): string {
	const marks = [
		...other.isReady ? [] : ['not ready'],
		...other.isSourceReachable ? [] : ['does not reach the store'],
		...(other.configVersion ?? 0) < (self.configVersion ?? 0) ? ['behind in the configuration'] : [],
	];
	const versions = `configuration ${other.configVersion ?? '?'}, servers' revision ${formatRevision(other)}`;
	return `  ${other.name} (life ${other.life}, ${other.availabilityZone}): ${versions}${marks.length === 0 ? '' : `; ${marks.join(', ')}`}`;
}

function formatRevision({serversRevision}: NodeEntry): number | string {
	return serversRevision === undefined ? '?' : formatPosition(serversRevision);
}
