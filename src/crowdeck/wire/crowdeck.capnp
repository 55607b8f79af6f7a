# Messages between crowdeck processes. Records are one-way and batched per
# link; each question has a reply.
@0xb5a1e0c2d7f34c11;

struct StageRef {
  instance @0 :Text;
  incarnation @1 :UInt64;
  firstLayer @2 :UInt32;
  endLayer @3 :UInt32;
}

struct Path {
  model @0 :Text;
  version @1 :Text;
  adapter @2 :Text;
  layerCount @3 :UInt32;
  stages @4 :List(StageRef);
}

struct Piece {
  token @0 :UInt32;
  text @1 :Text;
}

struct Opening {
  request @0 :Text;
  epoch @1 :UInt32;
  team @2 :Text;
  session @3 :Text;
  path @4 :Path;
  prompt @5 :Text;
  delivered @6 :List(Piece);
  maxTokens @7 :UInt32;
  secondsLeft @8 :Float64;
  priority @9 :Int32;
  traceparent @10 :Text;
  window @11 :UInt32;
  warmPosition @12 :Int64;
  warmContext @13 :UInt32;
}

struct Prefill {
  opening @0 :Opening;
  nextLayer @1 :UInt32;
  context @2 :UInt32;
  count @3 :UInt32;
  hidden @4 :Data;
}

struct Step {
  request @0 :Text;
  epoch @1 :UInt32;
  position @2 :UInt32;
  nextLayer @3 :UInt32;
  context @4 :UInt32;
  hidden @5 :Data;
}

struct Token {
  request @0 :Text;
  epoch @1 :UInt32;
  position @2 :UInt32;
  nextLayer @3 :UInt32;
  context @4 :UInt32;
  token @5 :UInt32;
  text @6 :Text;
  finish @7 :Text;
}

struct Answer {
  request @0 :Text;
  epoch @1 :UInt32;
  position @2 :UInt32;
  token @3 :UInt32;
  text @4 :Text;
  finish @5 :Text;
}

struct AnswerEnd {
  request @0 :Text;
  epoch @1 :UInt32;
  count @2 :UInt32;
  digest @3 :UInt64;
  finish @4 :Text;
}

struct Failure {
  request @0 :Text;
  epoch @1 :UInt32;
  verdict @2 :Text;
  code @3 :Text;
  message @4 :Text;
  culprit @5 :Text;
}

struct Credit {
  request @0 :Text;
  epoch @1 :UInt32;
  upto @2 :UInt32;
}

struct Cancel {
  request @0 :Text;
  epoch @1 :UInt32;
}

struct Record {
  union {
    prefill @0 :Prefill;
    step @1 :Step;
    token @2 :Token;
    answer @3 :Answer;
    answerEnd @4 :AnswerEnd;
    failure @5 :Failure;
    credit @6 :Credit;
    cancel @7 :Cancel;
    load @8 :Load;
  }
}

# Records that are sent for each token are encoded as columns, as a struct
# for each of them is slow to build.

struct StepColumns {
  request @0 :List(Text);
  epoch @1 :List(UInt32);
  position @2 :List(UInt32);
  nextLayer @3 :List(UInt32);
  context @4 :List(UInt32);
  hidden @5 :List(Data);
}

struct TokenColumns {
  request @0 :List(Text);
  epoch @1 :List(UInt32);
  position @2 :List(UInt32);
  nextLayer @3 :List(UInt32);
  context @4 :List(UInt32);
  token @5 :List(UInt32);
  text @6 :List(Text);
  finish @7 :List(Text);
}

struct AnswerColumns {
  request @0 :List(Text);
  epoch @1 :List(UInt32);
  position @2 :List(UInt32);
  token @3 :List(UInt32);
  text @4 :List(Text);
  finish @5 :List(Text);
}

# Consecutive records of one type; runs keep the order of the records.
struct Run {
  union {
    record @0 :Record;
    steps @1 :StepColumns;
    tokens @2 :TokenColumns;
    answers @3 :AnswerColumns;
  }
}

struct Greeting {
  cluster @0 :Text;
  instance @1 :Text;
  role @2 :Text;
  availabilityZone @3 :Text;
  incarnation @4 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Open { opening @0 :Opening; }

struct Seal {
  request @0 :Text;
  epoch @1 :UInt32;
  incarnation @2 :UInt64;
}

struct Attach {
  request @0 :Text;
  team @1 :Text;
  position @2 :UInt32;
  window @3 :UInt32;
}

struct Call {
  request @0 :Text;
  epoch @1 :UInt32;
  incarnation @2 :UInt64;
  team @3 :Text;
  service @4 :Text;
  method @5 :Text;
  path @6 :Text;
  headers @7 :List(Header);
  body @8 :Data;
  secondsLeft @9 :Float64;
  traceparent @10 :Text;
  hasCompanions @11 :Bool;
}

struct Collect {
  request @0 :Text;
  team @1 :Text;
}

struct TakeTurn {
  session @0 :Text;
  request @1 :Text;
  sequence @2 :Int64;
  isHolding @3 :Bool;
  isMoved @4 :Bool;
  secondsLeft @5 :Float64;
}

struct EndTurn {
  session @0 :Text;
  request @1 :Text;
}

struct Heartbeat { secondsLeft @0 :Float64; }

struct Drain { limit @0 :Float64; }

struct MoveOut {
  request @0 :Text;
  epoch @1 :UInt32;
  target @2 :StageRef;
}

struct ImportKv {
  request @0 :Text;
  team @1 :Text;
  context @2 :UInt32;
  kv @3 :Data;
}

struct ReadStatus { detail @0 :Text; }

struct ReadSpans { trace @0 :Text; }

struct Question {
  union {
    open @0 :Open;
    seal @1 :Seal;
    attach @2 :Attach;
    call @3 :Call;
    collect @4 :Collect;
    takeTurn @5 :TakeTurn;
    endTurn @6 :EndTurn;
    heartbeat @7 :Heartbeat;
    drain @8 :Drain;
    moveOut @9 :MoveOut;
    importKv @10 :ImportKv;
    readStatus @11 :ReadStatus;
    readSpans @12 :ReadSpans;
  }
}

struct Done { detail @0 :Text; }

struct Refused {
  code @0 :Text;
  verdict @1 :Text;
  message @2 :Text;
  retryAfter @3 :Float64;
  culprit @4 :Text;
}

struct Sealed { outcome @0 :Text; }

struct Attached {
  epoch @0 :UInt32;
  pieces @1 :List(Piece);
  isRunning @2 :Bool;
  finish @3 :Text;
}

struct Called {
  status @0 :UInt32;
  headers @1 :List(Header);
  body @2 :Data;
  companions @3 :List(Companion);
}

struct Companion {
  path @0 :Text;
  contentType @1 :Text;
  body @2 :Data;
}

struct Offer {
  model @0 :Text;
  version @1 :Text;
  adapter @2 :Text;
  firstLayer @3 :UInt32;
  endLayer @4 :UInt32;
  layerCount @5 :UInt32;
  accelerator @6 :Text;
  batchLimit @7 :UInt32;
}

struct Load {
  incarnation @0 :UInt64;
  isLeaving @1 :Bool;
  offers @2 :List(Offer);
  services @3 :List(Text);
  queued @4 :UInt32;
  running @5 :UInt32;
  batchSeconds @6 :Float64;
  tokenSeconds @7 :Float64;
}

struct MovedOut { position @0 :UInt32; context @1 :UInt32; }

struct Status { text @0 :Text; }

struct Spans { spans @0 :List(Text); }

struct Reply {
  union {
    done @0 :Done;
    refused @1 :Refused;
    sealed @2 :Sealed;
    attached @3 :Attached;
    called @4 :Called;
    load @5 :Load;
    movedOut @6 :MovedOut;
    status @7 :Status;
    spans @8 :Spans;
  }
}

interface Endpoint {
  greet @0 (greeting :Greeting, back :Endpoint) -> (greeting :Greeting);
  deliver @1 (runs :List(Run)) -> ();
  ask @2 (question :Question) -> (reply :Reply);
}
