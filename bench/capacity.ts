import type {Bench} from './main';
export const bench: Bench = {name: 'capacity', text: '', run: async () => null};
