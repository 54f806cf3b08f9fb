# Protocol between lagoonshelfd processes. Fields are only ever added.
@0xd3a1f0c95b7e2846;

struct Message {
  version @0 :UInt16;
  id @1 :UInt64;
  reply @2 :Bool;
  body :union {
    hello @3 :Hello;
    ping @4 :Status;
    pong @5 :Status;
    submit @6 :Submit;
    answer @7 :Answer;
    cancel @8 :RequestRef;
    lookup @9 :RequestRef;
    delegate @10 :Delegate;
    delegateReply @11 :DelegateReply;
    delegateDone @12 :DelegateDone;
    fence @13 :Fence;
    fenceReply @14 :FenceReply;
    grantAsk @15 :GrantAsk;
    configAsk @16 :ConfigAsk;
    configReply @17 :ConfigReply;
    released @18 :Released;  # not sent; released owner keys are seen by the watch
    ack @19 :Ack;
    delegateQuery @20 :DelegateQuery;
    delegateStates @21 :DelegateStates;
    delegateStop @22 :DelegateStop;
    jobAccepted @23 :JobRecord;
    jobCancelled @24 :JobRef;
    jobStateAsk @25 :JobRef;
    jobState @26 :JobStateReply;
    pulse @27 :Pulse;
    pulseReply @28 :PulseReply;
    adviceAsk @29 :AdviceAsk;
    advice @30 :Advice;
    relayJob @31 :JobRecord;
    relayCancel @32 :JobRef;
    relayed @33 :Relayed;
    configCopyAsk @34 :ConfigCopyAsk;
    configCopy @35 :ConfigCopy;
    whereAsk @36 :WhereText;
    whereReply @37 :WhereText;
  }
}

struct Hello {
  member @0 :Text;
  proof @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
}

struct Owned {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  active @2 :Bool;
  freeCpuMilli @3 :Int64;
  freeMemoryMib @4 :Int64;
  freeAccelerators @5 :Int32;
  freeSlots @6 :Int32;
  queued @7 :UInt32;
}

struct TeamUse {
  team @0 :Text;
  cpuMilli @1 :Int64;
  slots @2 :Int32;
}

struct Status {
  member @0 :Text;
  revision @1 :UInt64;
  storeReached @2 :Bool;
  promiseMs @3 :UInt32;
  draining @4 :Bool;
  owned @5 :List(Owned);
  use @6 :List(TeamUse);
  freshMs @7 :UInt32;
}

struct Submit {
  team @0 :Text;
  keyId @1 :Text;
  queue @2 :Text;
  requestKey @3 :Text;
  kind @4 :Text;
  repeatable @5 :Bool;
  cpuMilli @6 :Int64;
  memoryMib @7 :Int64;
  accelerators @8 :Int32;
  runMs @9 :UInt64;
  tasks @10 :UInt32;
  payload @11 :Text;
  timeoutMs @12 :UInt64;
  deadlineWallMs @13 :UInt64;
  retry @14 :Bool;
}

struct Answer {
  code @0 :UInt16;
  message @1 :Text;
  retryAfterMs @2 :UInt32;
  state @3 :Text;
  result @4 :Text;
  requestKey @5 :Text;
  taskIds @6 :List(Text);
  finished @7 :UInt32;
  failed @8 :UInt32;
  total @9 :UInt32;
  waitedMs @10 :UInt64;
}

struct RequestRef {
  team @0 :Text;
  keyId @1 :Text;
  requestKey @2 :Text;
}

struct TaskMeta {
  task @0 :Text;
  attempt @1 :UInt32;
  home @2 :UInt32;
  epoch @3 :UInt64;
  team @4 :Text;
  queue @5 :Text;
  requestKey @6 :Text;
  kind @7 :Text;
  workClass @8 :UInt16;
  repeatable @9 :Bool;
  cpuMilli @10 :Int64;
  memoryMib @11 :Int64;
  accelerators @12 :Int32;
  runMs @13 :UInt64;
  index @14 :UInt32;
  digest @15 :Text;
}

struct Delegate {
  partition @0 :UInt32;
  homeEpoch @1 :UInt64;
  meta @2 :TaskMeta;
  payload @3 :Text;
  epoch @4 :UInt64;
}

struct DelegateReply {
  accepted @0 :Bool;
  code @1 :UInt16;
}

struct DelegateDone {
  partition @0 :UInt32;
  meta @1 :TaskMeta;
  code @2 :UInt16;
  result @3 :Text;
  state @4 :Text;
}

struct DelegateQuery {
  partition @0 :UInt32;
  home @1 :UInt32;
  homeEpoch @2 :UInt64;
}

struct DelegateState {
  meta @0 :TaskMeta;
  state @1 :Text;
  result @2 :Text;
  partition @3 :UInt32;
  epoch @4 :UInt64;
}

struct DelegateStates {
  complete @0 :Bool;
  tasks @1 :List(DelegateState);
  boots @2 :List(Text);
}

struct DelegateStop {
  partition @0 :UInt32;
  home @1 :UInt32;
  homeEpoch @2 :UInt64;
  task @3 :Text;
  attempt @4 :UInt32;
}

struct Fence {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  member @2 :Text;
}

struct FenceReply {
  accepted @0 :Bool;
  tasks @1 :List(DelegateState);
  partitions @2 :List(UInt32);
}

struct GrantAsk {
  team @0 :Text;
  partition @1 :UInt32;
  tasks @2 :Int64;
  cpuMilli @3 :Int64;
}

struct ConfigAsk {
  revision @0 :UInt64;
}

struct ConfigReply {
  revision @0 :UInt64;
  changes @1 :List(Text);
}

struct Released {
  partition @0 :UInt32;
  epoch @1 :UInt64;
}

struct Ack {
  code @0 :UInt16;
  message @1 :Text;
}

struct JobRecord {
  job @0 :Text;
  record @1 :Text;
  created @2 :Int64;
}

struct JobRef {
  job @0 :Text;
}

struct JobStateReply {
  isHolder @0 :Bool;
  state @1 :Text;
}

struct QueueCount {
  queue @0 :Text;
  count @1 :UInt32;
}

struct Pulse {
  member @0 :Text;
  address @1 :Text;
  seat @2 :UInt64;
  storeAgeMs @3 :UInt32;
  isStoreTroubled @4 :Bool;
  coresMilli @5 :UInt32;
  suitsLeader @6 :Bool;
  memoryMb @7 :UInt32;
}

struct PeerState {
  address @0 :Text;
  storeAgeMs @1 :UInt32;
}

struct PulseReply {
  isHolder @0 :Bool;
  seat @1 :UInt64;
  storeAgeMs @2 :UInt32;
  pending @3 :List(QueueCount);
  members @4 :List(PeerState);
  holder @5 :Text;
  holderAddress @6 :Text;
  isReady @7 :Bool;
  intervalMs @8 :UInt32;
  configVersion @9 :UInt64;
  configAgeMs @10 :UInt32;
  forecasts @11 :List(PoolForecast);
  forecastAgeMs @12 :UInt32;
  heldBytes @13 :UInt64;
  maxBytes @14 :UInt64;
  teams @15 :List(TeamMemory);
}

struct TeamMemory {
  team @0 :Text;
  sizeBytes @1 :UInt64;
}

struct PoolForecast {
  pool @0 :Text;
  capacityMilli @1 :UInt64;
  freeMilli @2 :UInt64;
  freeSlots @3 :List(UInt32);
  rateMilli @4 :UInt64;
  urgentRateMilli @5 :UInt64;
  onTimeRateMilli @6 :UInt64;
  urgent @7 :List(UInt64);
  onTime @8 :List(UInt64);
  late @9 :List(UInt64);
}

struct AdviceAsk {
  step @0 :Text;
  workers @1 :List(Text);
}

struct Permit {
  worker @0 :Text;
  permit @1 :Text;
}

struct Advice {
  isAnswered @0 :Bool;
  permits @1 :List(Permit);
}

struct Relayed {
  outcome @0 :Text;
}

struct ConfigCopyAsk {
  revision @0 :UInt64;
}

struct ConfigCopy {
  revision @0 :UInt64;
  document @1 :Data;
  ageMs @2 :UInt32;
}

struct WhereText {
  text @0 :Text;
}
