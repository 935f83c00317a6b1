/** Rendezvous hashing: every process that knows the same members orders them alike for a key. */
import {createHash} from 'node:crypto';

function computeScore(key: string, member: string): string {
	return createHash('sha256').update(`${key}\n${member}`).digest('hex');
}

/** Orders members for a key, the first choice first. */
export function orderByRendezvous<Member>(key: string, members: Iterable<Member>, nameOf: (member: Member) => string): Member[] {
	const scored = [...members].map(member => ({member, score: computeScore(key, nameOf(member))}));
	scored.sort((left, right) => left.score < right.score ? 1 : -1);
	return scored.map(entry => entry.member);
}
