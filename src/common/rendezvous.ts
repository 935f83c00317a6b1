/** Rendezvous hashing: every process that knows the same members orders them alike for a key. */
import {createHash} from 'node:crypto';

/** Scores kept: those of a few keys for a thousand members; a node orders the fleet anew for each request. */
const mostScores = 8192;

const scores = new Map<string, string>();

function computeScore(key: string, member: string): string {
	const text = `${key}\n${member}`;
	let score = scores.get(text);
	if (score === undefined) {
		score = createHash('sha256').update(text).digest('hex');
		if (scores.size >= mostScores) {
			scores.clear();
		}

		scores.set(text, score);
	}

	return score;
}

/** The first choice among members for a key, without ordering the others; undefined when there are none. */
export function findRendezvous<Member>(key: string, members: Iterable<Member>, nameOf: (member: Member) => string): Member | undefined {
	let first: Member | undefined;
	let highest = '';
	for (const member of members) {
		const score = computeScore(key, nameOf(member));
		if (score > highest) {
			first = member;
			highest = score;
		}
	}

	return first;
}

/** Orders members for a key, the first choice first. */
export function orderByRendezvous<Member>(key: string, members: Iterable<Member>, nameOf: (member: Member) => string): Member[] {
	const scored = [...members].map(member => ({member, score: computeScore(key, nameOf(member))}));
	scored.sort((left, right) => left.score < right.score ? 1 : -1);
	return scored.map(entry => entry.member);
}
