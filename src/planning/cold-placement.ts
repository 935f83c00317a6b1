/**
 * Divides requests between warm and cold servers. Pure.
 *
 * A cold server works more slowly and takes few requests, so warm ones are used until they are full. Then cold servers are used as far as their
 * limits allow, and what remains waits or is rejected.
 */
import type {Either} from 'purify-ts';
import type {Failure} from '../common/index.js';
import type {GatedRequest, LimitGate} from './limit-gate.js';
import type {Decision} from './plan.js';
import type {ServerLoad} from './server-load.js';

/** A request to be placed while servers are cold. */
export type ColdPlacement = {
	gate: LimitGate;
	gated: GatedRequest;
	/** The usable servers that may be sent a request now. */
	available: ServerLoad[];
	/** Plans the request on some of them. */
	plan: (servers: ServerLoad[]) => Either<Failure, Decision>;
	/** Whether it occupies its servers for long: a long prefill, or a server of its own. */
	isHeavy: boolean;
	/** Whether a plan shows that all servers that it was made from are full. */
	isFull: (decision: Decision) => boolean;
};

/** Places a request on warm servers, on cold ones when those are full, or lets it wait. */
export function placeWarmFirst({gate, gated, available, plan, isHeavy, isFull}: ColdPlacement, now: number): Either<Failure, Decision> {
	const isWarm = (load: ServerLoad) => !gate.isCold(load, now);
	const warmUsable = gated.usable.filter(load => isWarm(load));
	const coldUsable = gated.usable.filter(load => !isWarm(load));
	if (warmUsable.length === 0 || coldUsable.length === 0) {
		return plan(available);
	}

	const warm = available.filter(load => isWarm(load));
	const onWarm = warm.length === 0 ? undefined : plan(warm);
	if (isHeavy) {
		return onWarm ?? gate.queueOrReject({...gated, usable: warmUsable}, now);
	}

	if (onWarm?.map(decision => !isFull(decision)).orDefault(false)) {
		return onWarm;
	}

	const onCold = placeOnCold({
		gate, gated, available: available.filter(load => !isWarm(load)), plan,
	}, now);
	return onCold ?? waitForCold({gate, gated}, {onWarm, coldUsable}, now);
}

/** Places a request on a cold server; undefined when none may take it now. */
function placeOnCold({gate, gated, available, plan}: Pick<ColdPlacement, 'gate' | 'gated' | 'available' | 'plan'>, now: number): Either<Failure, Decision> | undefined {
	if (available.length === 0 || !gate.hasTokens({...gated, usable: available}, now)) {
		return undefined;
	}

	const planned = plan(available);
	return planned.isRight() ? planned : undefined;
}

/** The plan on full warm servers, if any, and the cold servers that may take the request later. */
type WarmAlternative = {onWarm: Either<Failure, Decision> | undefined; coldUsable: ServerLoad[]};

/** Lets a request wait for a cold server; one that would wait too long goes to a full warm server, or is rejected if those cannot take it either. */
function waitForCold({gate, gated}: Pick<ColdPlacement, 'gate' | 'gated'>, {onWarm, coldUsable}: WarmAlternative, now: number): Either<Failure, Decision> {
	const isServedLate = onWarm?.isRight() ?? false;
	if (isServedLate && gate.computeWait({...gated, usable: coldUsable}, now) > gated.request.objective) {
		return onWarm!;
	}

	return gate.queueOrReject({...gated, usable: coldUsable}, now);
}
