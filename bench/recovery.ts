import type {Bench} from './main';
export const bench: Bench = {name: 'recovery', text: '', run: async () => null};
