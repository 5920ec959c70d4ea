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
    let responses: testHttp.HttpResponse[];
    let key: string;

    steps.given(/^a platform, an engine group/, async () => {
      fleet = await fleets.Fleet.start();
    });

    steps.when('a caller streams a response of 20 tokens', async () => {
      stream = fleet.chat('entry-0', 'alpha', 'Why was it held?', 20);
      await stream.whenEnded();
    });

    steps.then(/^the stream is complete/, () => {
      const messages = [{role: 'user', content: 'Why was it held?'}];
      expect(stream.isComplete).toBe(true);
      expect(stream.text).toBe(expectedText(messages, 20));
    });

    steps.when('a caller looks up a balance', async () => {
      const address = fleet.address('entry-1');
      const headers = site.authHeaders('beta');
      const response = await testHttp.call(
        address,
        'GET',
        '/ledger/balances/7',
        headers,
      );
      responses = [response];
    });

    steps.then("the ledger's response is returned", () => {
      expect(JSON.parse(responses[0]!.text)).toEqual({
        member: '7',
        balance: 125.5,
      });
    });

    steps.when(/^the same top-up is sent twice/, async () => {
      key = await fleet.mintKey('entry-0', 'alpha');
      responses = await Promise.all([
        fleet.topUp('entry-0', 'alpha', key),
        fleet.topUp('entry-1', 'alpha', key),
      ]);
    });

    steps.then(/^both responses are the same/, async () => {
      expect(responses.map(response => response.status)).toEqual([201, 201]);
      expect(responses[0]!.text).toBe(responses[1]!.text);
      expect((await fleet.runCounts())[key]).toBe(1);
    });

    steps.when('an operator adds an API key to an account', async () => {
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
          `${entry} accepts the new key`,
          async () => {
            const response = await testHttp.call(
              fleet.address(entry),
              'GET',
              '/ledger/balances/7',
              {authorization: 'Bearer another-key'},
            );
            return response.status === 200;
          },
          9_000,
        );
      }
    });
  });
});
