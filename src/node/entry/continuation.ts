/** Builds the request that continues a completion after its engine was lost. Pure. */
import type {CompletionBody, Operation} from './caller-request.js';

/**
 * Appends the received text to the prompt and lowers the output limit by the received tokens.
 *
 * Returns undefined if the text alone is not enough to continue: tools, a response format,
 * a prompt that is not a single string, or an output limit already reached.
 */
export function buildContinuation(operation: Operation, body: CompletionBody, receivedText: string, receivedTokens: number): CompletionBody | undefined {
	if (receivedText === '' || body.tools !== undefined || body.response_format !== undefined) {
		return undefined;
	}

	const limits = lowerLimits(body, receivedTokens);
	if (limits === undefined) {
		return undefined;
	}

	if (operation === 'text') {
		return typeof body.prompt === 'string' ? {...body, ...limits, prompt: body.prompt + receivedText} : undefined;
	}

	if (!Array.isArray(body.messages)) {
		return undefined;
	}

	return {
		...body,
		...limits,
		messages: [...body.messages as unknown[], {role: 'assistant', content: receivedText}],
		add_generation_prompt: false,
		continue_final_message: true,
	};
}

function lowerLimits(body: CompletionBody, tokens: number): Record<string, number> | undefined {
	const limits: Record<string, number> = {};
	for (const key of ['max_tokens', 'max_completion_tokens']) {
		const limit = body[key];
		if (typeof limit !== 'number') {
			continue;
		}

		if (limit <= tokens) {
			return undefined;
		}

		limits[key] = limit - tokens;
	}

	return limits;
}
