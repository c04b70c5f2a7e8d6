// One controller: its view of the state service, the parts it owns, the lead if it has it, and the answers to users,
// workers and peers. Everything it needs of the world comes in through ports.
import { Budget, type Clock, type Http, Replica, sleep, StateService, URGENCY } from '@gingerlock/clients';
import {
  answerBoundMs,
  type Decision,
  DRIFT,
  Holding,
  marginMs,
  type PartSummary,
  stateLeaseMs,
  TURN,
  type Txn,
} from '@gingerlock/core';
import type { PeerLink, PeerMessage } from '@gingerlock/peer';
import {
  decodeReport,
  encodeOrders,
  encodeReportTo,
  FORMAT,
  KEYS,
  LEAD,
  Malformed,
  metaRecord,
  PREFIX,
  type WorkerReport,
} from '@gingerlock/wire';
import { Leader, type SeenSummary } from './leader';
import type { Log } from './log';
import { PartOwner } from './owner';
import { refusal, type Reply } from './reply';
import type { Settings } from './settings';
import { Shared } from './shared';
import { Store } from './store';
import { Users } from './users';

export interface ControllerPorts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly http: Http;
  readonly link: PeerLink;
  readonly log: Log;
}

/** What users are shown of a job that is not over may lag by this much, says the protocol. */
const SHOWN_MS = 3000;

/** A worker waits this long for an answer, says the protocol. */
const WORKER_PATIENCE_MS = 4000;

/** Of that, how much a report may wait for its part to get an owner: the answer has to get there in time. */
const HOLD_SHARE = 0.7;

interface Relaying {
  readonly resolve: (reply: Reply) => void;
}

interface Redirected {
  readonly owner: string;
  readonly at: number;
  /** Since when its reports are relayed. */
  relayedSince: number | null;
}

export class Controller {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  readonly link: PeerLink;
  readonly state: StateService;
  readonly replica: Replica;
  readonly store = new Store();
  readonly shared: Shared;
  readonly process: string;
  readonly #http: Http;
  readonly #budget: Budget;
  readonly #users: Users;
  readonly #owners = new Map<number, PartOwner>();
  readonly #holdings = new Map<string, Holding>();
  readonly #seen = new Map<number, SeenSummary>();
  readonly #redirected = new Map<string, Redirected>();
  readonly #relays = new Map<string, Relaying>();
  /** Controllers that this process has heard of, and since when without a gap; null: silent now. */
  readonly #met = new Map<string, number | null>();
  #releasedAt = -Infinity;
  readonly #peerContact = new Map<string, { ageMs: number; at: number }>();
  #leader: Leader | null = null;
  #lease: number | null = null;
  #questions = 0;
  /** Calls for room to write that may still be answered, and who has lent for each: a copy of an answer lends nothing. */
  /** Questions to the controllers that parts of ours were taken from. */
  readonly #askedOwners = new Map<string, { readonly part: number; readonly term: number; readonly at: number }>();
  #ownersAskedAt = -Infinity;
  readonly #needs = new Map<string, { readonly at: number; readonly lenders: Set<string> }>();
  #stopped = false;
  #summarySentAt = -Infinity;
  #summaryToAllAt = -Infinity;
  #summaryChanges = -1;
  /** Asked of the peers while the state service is out of reach. */
  #asked: { id: string; at: number; vouched: Set<string> } | null = null;
  /** Up to when all peers have vouched that nothing has happened that we have not seen. */
  #vouchedAt = -Infinity;

  constructor(ports: ControllerPorts) {
    this.settings = ports.settings;
    this.clock = ports.clock;
    this.log = ports.log;
    this.link = ports.link;
    this.#http = ports.http;
    const { facts } = ports.settings;
    this.process = Math.floor(ports.clock.random() * 2 ** 48).toString(36);
    const share = 0.95 / facts.controllers;
    this.#budget = new Budget(ports.clock, this.settings.stateRps * share, this.settings.stateWriteRps * share);
    this.state = new StateService({
      http: ports.http,
      addr: this.settings.state,
      budget: this.#budget,
      clock: ports.clock,
      timeoutMs: Math.max(facts.reportMs / 2, 1000),
    });
    this.replica = new Replica({
      state: this.state,
      clock: ports.clock,
      prefix: PREFIX,
      minIntervalMs: Math.max(facts.reportMs / 15, 4000 / (this.settings.stateRps * share)),
      idleIntervalMs: facts.reportMs / 5,
      onChange: (key, value, version) => {
        try {
          this.store.apply(key, value, version);
        } catch (error) {
          this.log.error({ key, error: String(error) }, 'unreadable record');
        }
      },
      onSync: () => this.#synced(),
      onError: (error) => this.log.info({ error: String(error) }, 'state service can not be read'),
    });
    this.shared = new Shared(this.settings, ports.clock, ports.log, this.state, this.replica, this.store, ports.http);
    this.#users = new Users(this.shared, (id) => {
      let running = 0;
      for (const { summary } of this.#seen.values()) {
        for (const [name, tasks] of summary.running) if (name === id) running += tasks;
      }
      return running;
    });
    this.shared.announce = (revision) => {
      this.#broadcast({ kind: 'Hint', revision });
      this.replica.hint(revision);
    };
    this.shared.calledOff = (job) => this.#broadcast({ kind: 'CalledOff', job });
    this.shared.refuges = (exceptPart) => {
      const since = this.clock.now() - facts.reportMs * 2;
      return [...this.#seen.values()]
        .filter((seen) => seen.summary.part !== exceptPart && seen.at > since)
        .flatMap((seen) =>
          seen.summary.machines.filter((m) => m.takesWork && !m.spot && m.free.gpus + m.free.cpus > 0),
        );
    };
    this.store.onJob = (id) => {
      for (const owner of this.#owners.values()) owner.jobChanged(id);
    };
    this.store.onRoster = (part, machine, present) => this.#owners.get(part)?.book.setRostered(machine, present);
    this.link.onMessage = (from, message) => {
      try {
        this.#fromPeer(from, message);
      } catch (error) {
        this.log.error({ from, kind: message.kind, error: String(error) }, 'message from peer failed');
      }
    };
  }

  start(): void {
    this.replica.start();
    void this.#leaseLoop();
    this.#tickLater();
  }

  stop(): void {
    this.#stopped = true;
    this.#leader?.stop();
    this.replica.stop();
  }

  /** The parts that this controller owns now. */
  owned(): readonly PartOwner[] {
    return [...this.#owners.values()];
  }

  // --- time --------------------------------------------------------------------------------------------------------

  #tickLater(): void {
    if (this.#stopped) return;
    this.clock.after(this.settings.facts.reportMs / 15, () => {
      try {
        this.#tick();
      } catch (error) {
        this.log.error({ error: error instanceof Error ? error.stack : String(error) }, 'tick failed');
      }
      this.#tickLater();
    });
  }

  #tick(): void {
    const now = this.clock.now();
    for (const node of this.#met.keys()) if (!this.link.alive(node)) this.#met.set(node, null);
    for (const owner of this.#owners.values()) owner.tick(now);
    this.#askOwners(now);
    this.#releaseOne(now);
    this.#summarise(now);
    this.#leader?.tick();
    this.#askPeers(now);
    const writes = this.#budget.shortOfWrites();
    if (writes > 0) {
      const id = this.#question();
      this.#needs.set(id, { at: now, lenders: new Set() });
      this.#broadcast({ kind: 'Need', id, writes });
    }
    for (const [id, need] of this.#needs) if (now - need.at > this.settings.facts.reportMs) this.#needs.delete(id);
    for (const [machine, r] of this.#redirected) {
      if (now - r.at > this.settings.facts.leaseMs * 4) this.#redirected.delete(machine);
    }
  }

  async #leaseLoop(): Promise<void> {
    const { facts } = this.settings;
    const ttl = stateLeaseMs(facts);
    while (!this.#stopped) {
      const sent = this.clock.now();
      try {
        if (this.#lease === null) {
          this.#lease = await this.state.grantLease(ttl);
          this.shared.leaseSince = this.clock.now();
        } else if (!(await this.state.renewLease(this.#lease))) {
          this.log.info({ lease: this.#lease }, 'state lease ended');
          this.#lease = null;
          this.shared.leaseUntil = -Infinity;
          continue;
        }
        // Counted from the sending: the service may have started counting then.
        this.shared.leaseUntil = sent + ttl * (1 - DRIFT) - marginMs(facts) / 2;
      } catch (error) {
        this.log.info({ error: String(error) }, 'state lease not renewed');
      }
      await sleep(this.clock, Math.max(0, sent + ttl / 4 - this.clock.now()) + 1);
    }
  }

  // --- ownership ---------------------------------------------------------------------------------------------------

  #synced(): void {
    const { store } = this;
    if (store.meta === null) {
      void this.#found();
      return;
    }
    if (this.#holdings.size === 0) this.#openHoldings(store.meta.parts);
    const now = this.clock.now();
    for (const holding of this.#holdings.values()) {
      const wasOwned = holding.owned;
      const lease = this.shared.leaseValid() ? this.#lease : null;
      const decision = holding.decide(store.view(holding.slot), lease, now, this.clock.wall());
      if (wasOwned && !holding.owned) this.#released(holding);
      if (decision.kind === 'take' || decision.kind === 'resume') void this.#take(holding, decision);
    }
  }

  async #found(): Promise<void> {
    // About half of a value's room, in bits of base64: a page of a finished set always fits.
    const pageTasks = Math.max(64, Math.floor(this.settings.valueBytes / 2) * 6);
    const parts = this.settings.facts.controllers;
    const nodes = this.#nodes();
    const zones = Array.from({ length: parts }, (_, part) => this.#zoneOf(nodes[part % nodes.length]!));
    const meta = { format: FORMAT, parts, zones, pageTasks: pageTasks - (pageTasks % 8) };
    const changes = [{ put: KEYS.meta, value: metaRecord.write(meta) }];
    const result = await this.state.txn(URGENCY.accept, [{ key: KEYS.meta, version: 0 }], changes);
    if (result.kind !== 'done') return;
    this.replica.applyOwn(changes, result.revision);
    this.shared.announce(result.revision);
  }

  /** All controllers, in the order in which parts have their homes. */
  #nodes(): string[] {
    const { node, peers } = this.settings;
    return [node, ...peers.map((p) => p.node)].sort();
  }

  #zoneOf(node: string): string {
    return this.settings.peers.find((p) => p.node === node)?.zone ?? this.settings.zone;
  }

  /** Who should own the part, its home first: those in its zone go before the others. */
  #orderFor(part: number): string[] {
    const nodes = this.#nodes();
    const zone = this.store.meta?.zones[part];
    const from = nodes.map((_, i) => nodes[(i + part) % nodes.length]!);
    return [...from.filter((n) => this.#zoneOf(n) === zone), ...from.filter((n) => this.#zoneOf(n) !== zone)];
  }

  /**
   * Gives a part that was taken over back to its home, once that is well again: after rolling restarts one controller
   * owned most of the fleet, and its end cost the most. One at a time, and not while anything is wrong: workers of the
   * part have to find their new owner.
   */
  #releaseOne(now: number): void {
    const { leaseMs, reportMs } = this.settings.facts;
    if (now - this.#releasedAt < leaseMs || !this.shared.fresh() || this.replica.failures > 0) return;
    for (const { part, holding, book } of this.#owners.values()) {
      const home = this.#orderFor(part)[0]!;
      if (home === this.settings.node || holding.state !== 'held' || !book.cleared) continue;
      if (now - holding.takenAt < leaseMs || now - (this.#met.get(home) ?? now) < leaseMs) continue;
      const contact = this.#peerContact.get(home);
      if (contact === undefined || now - contact.at > reportMs || contact.ageMs > reportMs) continue;
      const txn = holding.release(this.store.view(holding.slot));
      if (txn === null) continue;
      this.#releasedAt = now;
      this.#released(holding);
      void this.#settleRelease(holding, txn);
      return;
    }
  }

  async #settleRelease(holding: Holding, { conditions, changes }: Txn): Promise<void> {
    const revision = await this.shared.settle(URGENCY.renew, conditions, changes, () => !this.#stopped);
    holding.released();
    this.log.info({ slot: holding.slot, term: holding.term, done: revision > 0 }, 'given back');
  }

  #openHoldings(parts: number): void {
    const { node, facts } = this.settings;
    const me = { node, process: this.process };
    const turn = (order: readonly string[]): number => {
      let sum = 0;
      for (const before of order) {
        if (before === node) break;
        if (this.link.alive(before)) sum += TURN.alive;
        else sum += this.#met.has(before) ? TURN.silent : TURN.unknown;
      }
      return sum;
    };
    for (let part = 0; part < parts; part++) {
      const order = this.#orderFor(part);
      this.#holdings.set(String(part), new Holding(String(part), facts, me, () => turn(order)));
    }
    const nodes = this.#nodes();
    this.#holdings.set(LEAD, new Holding(LEAD, facts, me, () => turn(nodes)));
  }

  async #take(holding: Holding, decision: Extract<Decision, { kind: 'take' | 'resume' }>): Promise<void> {
    const { slot } = holding;
    const hadOwner = this.store.owners.has(slot);
    const { conditions, changes } = decision.txn;
    const revision = await this.shared.settle(URGENCY.renew, conditions, changes, () => !this.#stopped);
    const doneAt = this.clock.now();
    if (revision === 0) {
      holding.failed();
      if (decision.kind === 'resume') this.#released(holding);
      return;
    }
    if (decision.kind === 'resume') {
      holding.resumed();
      this.log.info({ slot, term: holding.term }, 'resumed');
      return;
    }
    // What the old owner wrote before it lost the slot has to be seen first: its roster above all.
    while (this.replica.revision < revision) {
      try {
        await this.replica.barrier();
      } catch {
        await sleep(this.clock, this.settings.facts.reportMs / 5);
      }
    }
    if (this.store.owners.get(slot)?.version !== revision) {
      holding.failed();
      return;
    }
    if (!holding.taken(revision, hadOwner, doneAt, this.clock.now(), this.clock.wall())) return;
    this.log.info({ slot, term: holding.term, clearInMs: Math.round(holding.clearAt - this.clock.now()) }, 'taken');
    if (slot === LEAD) {
      this.#leader = new Leader(this.shared, holding, () => [...this.#seen.values()], this.#http);
    } else {
      const before = this.#seen.get(Number(slot))?.summary.machines ?? [];
      const rooms = new Map(before.map((m) => [m.name, m] as const));
      this.#owners.set(Number(slot), new PartOwner(this.shared, Number(slot), holding, rooms));
      const timing = holding.timing();
      if (timing !== null)
        void this.shared.settle(URGENCY.deal, timing.conditions, timing.changes, () => holding.owned);
    }
  }

  #released(holding: Holding): void {
    this.log.info({ slot: holding.slot, term: holding.term }, 'released');
    if (holding.slot === LEAD) {
      this.#leader?.stop();
      this.#leader = null;
    } else {
      this.#owners.delete(Number(holding.slot));
    }
  }

  // --- workers -----------------------------------------------------------------------------------------------------

  /** Up to when nothing can have been accepted, cancelled or taken that we have not seen. */
  #contactAt(): number {
    return Math.max(this.replica.contactAt ?? -Infinity, this.#vouchedAt);
  }

  async checkin(body: Buffer): Promise<Reply> {
    let report: WorkerReport;
    try {
      report = decodeReport(body);
    } catch (error) {
      return refusal(400, error instanceof Malformed ? error.message : 'malformed');
    }
    const { partition } = this.store;
    if (partition === null) return refusal(503, 'starting');
    const part = partition.of(report.machine, report.zone);
    if (this.#owners.has(part)) return this.#answer(part, report);
    return this.#sendOn(part, report, body);
  }

  #answer(part: number, report: WorkerReport): Reply {
    const owner = this.#owners.get(part)!;
    const now = this.clock.now();
    // The bound within which a part's next owner, and users who cancel, may count on our silence.
    if (now > this.#contactAt() + answerBoundMs(this.settings.facts))
      return refusal(503, 'no contact with the state service');
    const outcome = owner.book.report(report, now, owner.mayGrant(now));
    switch (outcome.kind) {
      case 'answer':
        return { status: 200, body: encodeOrders(outcome.token, outcome.commands) };
      case 'refuse':
        this.log.debug({ machine: report.machine, why: outcome.why }, 'report refused');
        return refusal(503, outcome.why);
      case 'superseded':
        this.log.info({ part, machine: report.machine, token: report.token }, 'superseded');
        owner.holding.stepDown();
        this.#released(owner.holding);
        return { status: 421, body: encodeReportTo(null) };
    }
  }

  /**
   * The worker belongs to a part of another controller, or of none now. Sent away without an owner's name it would try
   * the next controller, which may be dead or cut off too: that costs it seconds of its lease at each. So its report waits
   * here for as long as it waits itself, until the part has an owner that it can be sent to.
   */
  async #sendOn(part: number, report: WorkerReport, body: Buffer): Promise<Reply> {
    const until = this.clock.now() + WORKER_PATIENCE_MS * HOLD_SHARE;
    for (;;) {
      const before = this.#ownerOf(part);
      const reply = await this.#pointTo(before, part, report, body);
      if (reply.status !== 503) return reply;
      do {
        if (this.clock.now() >= until || this.#stopped) return reply;
        await sleep(this.clock, this.settings.facts.reportMs / 10);
        if (this.#owners.has(part)) return this.#answer(part, report);
      } while (this.#ownerOf(part) === before);
    }
  }

  /**
   * Who owns the part, as far as we know; null: nobody now. What an owner says of itself may be newer than our replica:
   * a controller without the state service still sends workers the right way.
   */
  #ownerOf(part: number): string | null {
    const owner = this.store.owners.get(String(part));
    const seen = this.#seen.get(part);
    if (seen !== undefined && seen.summary.term > (owner?.record.term ?? 0)) return seen.owner;
    return this.store.holds.has(String(part)) ? (owner?.record.node ?? null) : null;
  }

  async #pointTo(owner: string | null, part: number, report: WorkerReport, body: Buffer): Promise<Reply> {
    const { facts, node } = this.settings;
    if (owner === null || owner === node) return refusal(503, 'part has no owner now');
    const now = this.clock.now();
    const last = this.#redirected.get(report.machine);
    // Back within its lease after it was sent there, or the owner says that it has not heard it for a while: it can not
    // reach the owner, but we may.
    // The same when we ourselves hear nothing of the owner though others are there: sent to a dead owner, a worker would
    // lose several seconds of its lease.
    const dead = !this.link.alive(owner) && this.link.nodes.some((n) => this.link.alive(n));
    const cut =
      (last?.owner === owner && now - last.at < facts.leaseMs) || dead || this.#missedByOwner(part, report.machine);
    const relayed = last?.relayedSince ?? null;
    if (cut && (relayed === null || now - relayed < facts.leaseMs * 2)) {
      this.#redirected.set(report.machine, { owner, at: now, relayedSince: relayed ?? now });
      return this.#relay(owner, body);
    }
    this.#redirected.set(report.machine, { owner, at: now, relayedSince: null });
    return { status: 421, body: encodeReportTo(owner) };
  }

  #missedByOwner(part: number, machine: string): boolean {
    const seen = this.#seen.get(part);
    const room = seen?.summary.machines.find((m) => m.name === machine);
    if (room === undefined) return false;
    const { reportMs, leaseMs } = this.settings.facts;
    return room.silentMs > reportMs * 2 && room.silentMs < leaseMs && this.clock.now() - seen!.at < reportMs;
  }

  #relay(owner: string, body: Buffer): Promise<Reply> {
    const id = this.#question();
    const message: PeerMessage = { kind: 'Relay', id, from: this.settings.node, to: owner, body };
    const via = this.link.alive(owner) ? owner : this.link.nodes.find((n) => n !== owner && this.link.alive(n));
    if (via === undefined || !this.link.send(via, message))
      return Promise.resolve(refusal(503, 'owner is out of reach'));
    return new Promise((resolve) => {
      const cancel = this.clock.after(Math.min(this.settings.facts.reportMs, WORKER_PATIENCE_MS / 2), () => {
        this.#relays.delete(id);
        resolve(refusal(503, 'owner did not answer'));
      });
      this.#relays.set(id, {
        resolve: (reply) => {
          cancel();
          this.#relays.delete(id);
          resolve(reply);
        },
      });
    });
  }

  // --- peers -------------------------------------------------------------------------------------------------------

  /**
   * The id of a question to other controllers. Counted from one in every process, a late answer to the process before
   * could match: one worker would get another's orders, or a peer would vouch for what nobody had asked it.
   */
  #question(): string {
    return `${this.process}-${++this.#questions}`;
  }

  #broadcast(message: PeerMessage): void {
    for (const node of this.link.nodes) this.link.send(node, message);
  }

  #fromPeer(from: string, message: PeerMessage): void {
    const now = this.clock.now();
    if ((this.#met.get(from) ?? null) === null) this.#met.set(from, now);
    switch (message.kind) {
      case 'Hello':
        // It may have just started: what we saw last of the parts tells it which images its machines have.
        for (const { summary, owner } of this.#seen.values()) this.link.send(from, summaryMessage(summary, owner));
        return;
      case 'Alive':
        this.#peerContact.set(from, { ageMs: message.contactAgeMs, at: now });
        this.replica.hint(message.revision);
        return;
      case 'Need': {
        const writes = this.#budget.lend(message.writes);
        if (writes > 0) this.link.send(from, { kind: 'Lend', id: message.id, writes });
        return;
      }
      case 'Lend': {
        const lenders = this.#needs.get(message.id)?.lenders;
        if (lenders === undefined || lenders.has(from)) return;
        lenders.add(from);
        this.#budget.borrow(message.writes);
        return;
      }
      case 'Hint':
        this.replica.hint(message.revision);
        return;
      case 'CalledOff':
        // A stop is always safe, with or without the state service. It shortens no bound: the word may be lost.
        this.store.callOff(message.job);
        return;
      case 'Summary': {
        const { owner, part, term, revision, machines, missing } = message;
        if (this.#owners.has(part) || term < (this.#seen.get(part)?.summary.term ?? 0)) return;
        const running = message.running.map((r) => [r.job, r.tasks] as const);
        this.#seen.set(part, { summary: { part, term, revision, machines, missing, running }, at: now, owner });
        return;
      }
      case 'FleetOrders':
        if (this.store.owners.get(LEAD)?.record.term === message.term) this.#obey(message.drain, message.gone);
        return;
      case 'Ask':
        this.link.send(from, {
          kind: 'Vouch',
          id: message.id,
          vouches: this.#canVouch(message.revision),
          contactAgeMs: this.#contactAgeMs(now),
        });
        return;
      case 'Vouch': {
        const asked = this.#asked;
        if (asked === null || asked.id !== message.id || !message.vouches) return;
        asked.vouched.add(from);
        if (this.link.nodes.every((n) => asked.vouched.has(n))) this.#vouchedAt = Math.max(this.#vouchedAt, asked.at);
        return;
      }
      case 'AskOwner': {
        // Without the state service we may be the last to learn that the part was taken from us.
        const holding = this.#owners.get(message.part)?.holding;
        if (holding !== undefined && holding.term < message.term) {
          holding.stepDown();
          this.#released(holding);
        }
        this.link.send(from, { kind: 'TellOwner', id: message.id, owns: this.#owners.has(message.part) });
        return;
      }
      case 'TellOwner': {
        const asked = this.#askedOwners.get(message.id);
        const owner = asked === undefined ? undefined : this.#owners.get(asked.part);
        if (asked === undefined || message.owns || owner?.holding.term !== asked.term) return;
        owner.holding.gaveUp(from, now, this.clock.wall());
        owner.book.clearAt = owner.holding.clearAt;
        return;
      }
      case 'Relay':
        if (message.to === this.settings.node) {
          void this.#relayed(from, message);
        } else if (from === message.from && this.link.nodes.includes(message.to)) {
          if (this.link.alive(message.to) && this.link.send(message.to, message)) return;
          const reply = refusal(503, 'owner is out of reach');
          this.#relayAnswer(from, message, reply);
        }
        return;
      case 'RelayAnswer':
        if (message.to !== this.settings.node) this.link.send(message.to, message);
        else this.#relays.get(message.id)?.resolve({ status: message.status, body: Buffer.from(message.body) });
        return;
    }
  }

  async #relayed(via: string, message: Extract<PeerMessage, { kind: 'Relay' }>): Promise<void> {
    let reply: Reply;
    try {
      const report = decodeReport(message.body);
      const part = this.store.partition?.of(report.machine, report.zone);
      reply = part !== undefined && this.#owners.has(part) ? this.#answer(part, report) : refusal(503, 'not the owner');
    } catch {
      reply = refusal(400, 'malformed');
    }
    this.#relayAnswer(via, message, reply);
  }

  #relayAnswer(via: string, message: Extract<PeerMessage, { kind: 'Relay' }>, reply: Reply): void {
    this.link.send(via, {
      kind: 'RelayAnswer',
      id: message.id,
      to: message.from,
      status: reply.status,
      body: reply.body ?? Buffer.alloc(0),
    });
  }

  #obey(drain: readonly string[], gone: readonly string[]): void {
    const draining = new Set(drain);
    for (const owner of this.#owners.values()) {
      for (const m of owner.book.machines.values()) m.draining = draining.has(m.name);
      for (const name of gone) {
        // Its zone is not told with it: what is gone is gone for every part.
        if (!owner.book.isGone(name)) owner.gone(name);
      }
    }
  }

  /** Tells the peers how our parts stand, and that we are there. */
  #summarise(now: number): void {
    const { facts } = this.settings;
    let changes = 0;
    for (const owner of this.#owners.values()) changes += owner.book.changes + 1;
    const since = now - this.#summarySentAt;
    if (since < facts.reportMs / 6 || (changes === this.#summaryChanges && since < facts.reportMs / 2)) return;
    this.#summarySentAt = now;
    this.#summaryChanges = changes;
    // The leader divides by them and needs every one; the others show users what runs, and know images should they take
    // the part over.
    const lead = this.store.owners.get(LEAD)?.record.node;
    // Small and wanted soonest: before the summaries, which may fill the way.
    this.#broadcast({ kind: 'Alive', contactAgeMs: this.#contactAgeMs(now), revision: this.replica.revision });
    const forAll = now - this.#summaryToAllAt > Math.min(facts.reportMs, SHOWN_MS / 2);
    if (forAll) this.#summaryToAllAt = now;
    for (const owner of this.#owners.values()) {
      const summary = owner.summary(now);
      this.#seen.set(owner.part, { summary, at: now, owner: this.settings.node });
      const message = summaryMessage(summary, this.settings.node);
      for (const node of this.link.nodes) if (forAll || node === lead) this.link.send(node, message);
    }
    const leader = this.#leader;
    if (leader !== null && leader.holding.owned) {
      const { drain, gone } = leader.orders();
      this.#obey(drain, gone);
      this.#broadcast({ kind: 'FleetOrders', term: leader.holding.term, drain: [...drain], gone: [...gone] });
    }
  }

  #contactAgeMs(now: number): number {
    return this.replica.contactAt === null ? 1e9 : now - this.replica.contactAt;
  }

  /** Asks those that had parts of ours before whether they have given them up: if so, the parts are clear sooner. */
  #askOwners(now: number): void {
    const { reportMs } = this.settings.facts;
    if (now - this.#ownersAskedAt < reportMs / 2) return;
    this.#ownersAskedAt = now;
    for (const [id, asked] of this.#askedOwners) if (now - asked.at > reportMs * 2) this.#askedOwners.delete(id);
    for (const { part, holding, book } of this.#owners.values()) {
      if (holding.before === null || book.cleared) continue;
      const id = this.#question();
      this.#askedOwners.set(id, { part, term: holding.term, at: now });
      this.link.send(holding.before.node, { kind: 'AskOwner', id, part, term: holding.term });
    }
  }

  // --- an outage of the state service ------------------------------------------------------------------------------

  /**
   * Whether we know of nothing past that revision. A process that has not reached the state service since its start
   * can't say what its predecessor has told users; nor can one that may have changed something without knowing.
   */
  #canVouch(revision: number): boolean {
    const doubt = this.state.doubtfulSince;
    const contact = this.replica.contactAt;
    const clean = this.state.unanswered === 0 && (doubt === null || (contact !== null && contact > doubt));
    return this.replica.loaded && contact !== null && this.replica.failures > 0 && clean && this.state.seen <= revision;
  }

  #askPeers(now: number): void {
    const { reportMs } = this.settings.facts;
    if (this.replica.failures === 0 || this.replica.contactAt === null || this.#owners.size === 0) {
      this.#asked = null;
      return;
    }
    if (this.#asked !== null && now - this.#asked.at < reportMs) return;
    this.#asked = { id: this.#question(), at: now, vouched: new Set() };
    this.#broadcast({ kind: 'Ask', id: this.#asked.id, revision: this.replica.revision });
  }

  // --- users -------------------------------------------------------------------------------------------------------

  /** Whether to send users here: not while we alone lack the state service. */
  up(): Reply {
    const now = this.clock.now();
    const { reportMs } = this.settings.facts;
    if (!this.replica.loaded || this.store.meta === null) return refusal(503, 'starting');
    const stale = this.#contactAgeMs(now) > reportMs * 2;
    const peerHasIt = [...this.#peerContact].some(
      ([node, c]) => this.link.alive(node) && now - c.at < reportMs * 2 && c.ageMs < reportMs,
    );
    return stale && peerHasIt ? refusal(503, 'state service is out of reach') : { status: 200, body: null };
  }

  poll(id: string): Promise<Reply> {
    return this.#users.poll(id);
  }

  submit(body: Buffer): Promise<Reply> {
    return this.#users.submit(body);
  }

  cancel(id: string): Promise<Reply> {
    return this.#users.cancel(id);
  }
}

function summaryMessage(summary: PartSummary, owner: string): PeerMessage {
  return {
    kind: 'Summary',
    owner,
    part: summary.part,
    term: summary.term,
    revision: summary.revision,
    machines: summary.machines.map((m) => ({ ...m, byRank: [...m.byRank], images: [...m.images] })),
    missing: summary.missing,
    running: summary.running.map(([job, tasks]) => ({ job, tasks })),
  };
}
