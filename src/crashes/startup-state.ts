/**
 * What a process that starts must know before it sends its first request: which
 * requests crash targets. Asks peers, and the store if none of them knows.
 */
import type {PeerRanking} from '../peers/peer-ranking';
import * as random from '../random';
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import type {QuarantineStore} from './quarantine-store';

const PEERS_TO_ASK = 3;
const ANSWER_TIMEOUT_MS = 250;
/** Requests aren't held for longer, whether anyone has answered or not. */
const MAX_WAIT_MS = 400;

export interface StartupContext {
  readonly rpc: RpcClient;
  readonly peers: PeerRanking;
  readonly quarantineStore: QuarantineStore;
  apply(
    notices: readonly app.QuarantineNotice[],
    suspects: readonly app.SuspectState[],
  ): void;
}

export class StartupState {
  isComplete = false;
  private loading: Promise<void> | undefined;

  constructor(private readonly context: StartupContext) {}

  load(): Promise<void> {
    this.loading ??= this.ask().finally(() => {
      this.isComplete = true;
    });
    return this.loading;
  }

  /** Resolves once all is known, or after a short wait. */
  async whenComplete(): Promise<void> {
    if (!this.isComplete) {
      const timeout = new Promise(resolve => setTimeout(resolve, MAX_WAIT_MS));
      await Promise.race([this.load(), timeout]);
    }
  }

  private async ask(): Promise<void> {
    const {directory} = this.context.peers;
    const peers = random.sample(directory.known, PEERS_TO_ASK);
    const isKnown = await Promise.all(peers.map(peer => this.askPeer(peer)));
    if (!isKnown.includes(true)) {
      this.context.apply(await this.context.quarantineStore.load(), []);
    }
  }

  /** True if the peer knows what is quarantined. */
  private async askPeer(peer: string): Promise<boolean> {
    const {rpc, peers, apply} = this.context;
    const params = {from: peers.ownAddress};
    const answer = await rpc.call(peer, app.state, params, ANSWER_TIMEOUT_MS);
    if (!answer.ok) {
      return false;
    }
    apply(answer.value.convicted, answer.value.suspects);
    return answer.value.isComplete;
  }
}
