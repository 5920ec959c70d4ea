import type {Bench} from './main';
export const bench: Bench = {
  name: 'membership',
  text: '',
  run: async () => null,
};
