/** Puts `assert-parts.cjs` in the place of `node:assert` in a bundle. */
import {fileURLToPath} from 'node:url';

const replacement = fileURLToPath(new URL('assert-parts.cjs', import.meta.url));

export const replaceAssert = {
	name: 'replace-assert',
	setup(builder) {
		builder.onResolve({filter: /^(?:node:)?assert$/}, ({importer}) => importer === replacement ? undefined : {path: replacement});
	},
};
