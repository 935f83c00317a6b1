/** Rendezvous hashing: processes with the same member list compute the same order for a key. */
import {createHash} from 'node:crypto';

/** Cached scores, enough for several keys and a thousand members; avoids hashing every member for each request. */
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

/** Finds the preferred member for a key without sorting; undefined when there are no members. */
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

/** Sorts members by preference for a key, preferred member first. */
export function orderByRendezvous<Member>(key: string, members: Iterable<Member>, getName: (member: Member) => string): Member[] {
	const scored = [...members].map(member => ({member, score: computeScore(key, getName(member))}));
	scored.sort((left, right) => left.score < right.score ? 1 : -1);
	return scored.map(entry => entry.member);
}
