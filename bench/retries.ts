import type {Bench} from './main';
export const bench: Bench = {name: 'retries', text: '', run: async () => null};
