import type {Bench} from './main';
export const bench: Bench = {name: 'hop', text: '', run: async () => null};
