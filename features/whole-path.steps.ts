import * as path from 'node:path';
import {defineFeature, loadFeature} from 'jest-cucumber';
import {sha256Hex} from '../src/requests/headers';
import {expectedText} from '../standins/engine';
import * as fleets from './support/fleet';
import * as testHttp from './support/http';
import * as site from './support/site';

const feature = loadFeature(path.join(__dirname, 'whole-path.feature'));

defineFeature(feature, test => {
  let fleet: fleets.Fleet;

  afterEach(async () => fleet.close());

  test('Requests and a change of configuration', steps => {
    let stream: testHttp.EventStream;
    let answers: testHttp.HttpResponse[];
    let key: string;

    steps.given(/^a platform, an engine group/, async () => {
      fleet = await fleets.Fleet.start();
    });

    steps.when('a caller streams an answer of 20 tokens', async () => {
      stream = fleet.chat('entry-0', 'alpha', 'Why was it held?', 20);
      await stream.whenEnded();
    });

    steps.then(/^the stream is whole/, () => {
      const messages = [{role: 'user', content: 'Why was it held?'}];
      expect(stream.isComplete).toBe(true);
      expect(stream.text).toBe(expectedText(messages, 20));
    });

    steps.when('a caller looks up a balance', async () => {
      const address = fleet.address('entry-1');
      const headers = site.authHeaders('beta');
      const answer = await testHttp.call(
        address,
        'GET',
        '/ledger/balances/7',
        headers,
      );
      answers = [answer];
    });

    steps.then("the ledger's answer arrives", () => {
      expect(JSON.parse(answers[0]!.text)).toEqual({
        member: '7',
        balance: 125.5,
      });
    });

    steps.when(/^the same top-up is sent twice/, async () => {
      key = await fleet.mintKey('entry-0', 'alpha');
      answers = await Promise.all([
        fleet.topUp('entry-0', 'alpha', key),
        fleet.topUp('entry-1', 'alpha', key),
      ]);
    });

    steps.then(/^both answers are the same/, async () => {
      expect(answers.map(answer => answer.status)).toEqual([201, 201]);
      expect(answers[0]!.text).toBe(answers[1]!.text);
      expect((await fleet.runCounts())[key]).toBe(1);
    });

    steps.when('an operator gives an account another API key', async () => {
      const account = site.makeAccount('alpha');
      const applied = await fleet.apply({
        ...account,
        keyDigests: [...account.keyDigests, sha256Hex('another-key')],
      });
      expect(applied.ok).toBe(true);
    });

    steps.then(/^the new key is in force/, async () => {
      for (const entry of ['entry-0', 'entry-1']) {
        await fleets.eventually(
          `the key is known at ${entry}`,
          async () => {
            const answer = await testHttp.call(
              fleet.address(entry),
              'GET',
              '/ledger/balances/7',
              {authorization: 'Bearer another-key'},
            );
            return answer.status === 200;
          },
          9_000,
        );
      }
    });
  });
});
