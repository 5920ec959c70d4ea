import type {Bench} from './main';
export const bench: Bench = {name: 'routing', text: '', run: async () => null};
