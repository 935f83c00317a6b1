/** Rendezvous hashing: every process that knows the same members orders them alike for a key. */
import {createHash} from 'node:crypto';

/** Scores kept: those of a few keys for a thousand members; a node orders the fleet anew for each request. */
const maxCachedScores = 8192;

const scoreCache = new Map<string, string>();

function computeScore(key: string, member: string): string {
	const text = `${key}\n${member}`;
	let score = scoreCache.get(text);
	if (score === undefined) {
		score = createHash('sha256').update(text).digest('hex');
		if (scoreCache.size >= maxCachedScores) {
			scoreCache.clear();
		}

		scoreCache.set(text, score);
	}

	return score;
}

/** The first choice among members for a key, without ordering the others; undefined when there are none. */
export function findFirstByRendezvous<Member>(key: string, members: Iterable<Member>, getName: (member: Member) => string): Member | undefined {
	let first: Member | undefined;
	let highest = '';
	for (const member of members) {
		const score = computeScore(key, getName(member));
		if (score > highest) {
			first = member;
			highest = score;
		}
	}

	return first;
}

/** Orders members for a key, the first choice first. */
export function orderByRendezvous<Member>(key: string, members: Iterable<Member>, getName: (member: Member) => string): Member[] {
	const scored = [...members].map(member => ({member, score: computeScore(key, getName(member))}));
	scored.sort((left, right) => left.score < right.score ? 1 : -1);
	return scored.map(entry => entry.member);
}
