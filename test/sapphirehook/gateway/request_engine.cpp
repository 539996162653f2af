#include "engine_bed.hpp"

using namespace sapphirehook;
using namespace sapphirehook::engine_bed;

TEST_CASE("requests are answered one after the other on a kept connection",
          "[gateway]")
{
  Bed bed;
  bed.List("plain");
  for (int i = 0; i < 5; ++i) {
    const auto answer = bed.Ask("/safe/x", Concat("id", i));
    CHECK(Bed::Is(answer, 200));
    CHECK(answer.find(Concat("X-Sapphirehook-Attempt-Id: id", i)) !=
          std::string::npos);
    CHECK(answer.substr(answer.size() - 4) == "done");
  }
  CHECK(bed.Arrived() == 5);
  CHECK(Bed::Is(bed.Ask("/none/x", "idn"), 404));
}

TEST_CASE("a daemon that may lack routes does not say that there is none",
          "[gateway]")
{
  Bed bed;
  bed.List("plain");
  bool mayLack = true;
  bed.m_engine.m_routesMayBeStale = [&] { return mayLack; };
  const auto answer = bed.Ask("/none/x", "id1");
  CHECK(Bed::Is(answer, 503));
  CHECK(answer.find("Retry-After: 0.3") != std::string::npos);
  CHECK(Bed::Is(bed.Ask("/safe/x", "id2"), 200));
  mayLack = false;
  CHECK(Bed::Is(bed.Ask("/none/x", "id3"), 404));
}

TEST_CASE("pipelined requests get their own answers in order", "[gateway]")
{
  Bed bed;
  bed.List("plain");
  std::string both;
  for (const char* id : { "p1", "p2", "p3" }) {
    both += Concat("GET /safe/x HTTP/1.1\r\nHost: h\r\n",
                   "X-Sapphirehook-Attempt-Id: ",
                   id,
                   "\r\n\r\n");
  }
  bed.Send(both);
  REQUIRE(bed.Until([&] { return bed.m_got.find("p3") != std::string::npos; }));
  CHECK(bed.m_got.find("p1") < bed.m_got.find("p2"));
  CHECK(bed.m_got.find("p2") < bed.m_got.find("p3"));
}

TEST_CASE("a request lost with its endpoint is repeated only when idempotent",
          "[gateway]")
{
  Bed bed;
  bed.List("plain");
  int sent = 0;
  bed.SetScript([&](auto& aConnection, auto& aHead) {
    if (++sent == 1) {
      aConnection.m_stream->Reset();
    } else {
      ScriptedEndpoint::Serve(aConnection, aHead);
    }
  });
  SECTION("idempotent")
  {
    // The budget allows a repeat.
    CHECK(Bed::Is(bed.Ask("/safe/x", "a"), 200));
    CHECK(bed.Arrived() == 2);
  }
  SECTION("never-repeat")
  {
    CHECK(Bed::Is(bed.Ask("/once/x", "a"), 502));
    CHECK(bed.Arrived() == 1);
  }
}

TEST_CASE("not run is said only of what has not run, with a time to come back",
          "[gateway]")
{
  Bed bed;
  bed.List("plain");
  bed.SetScript([](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Reply(aConnection,
                            aHead,
                            "503 Service Unavailable",
                            "X-Sapphirehook-Not-Executed: 1\r\n",
                            "");
  });
  const auto answer = bed.Ask("/once/x", "a");
  CHECK(Bed::Is(answer, 503));
  CHECK(answer.find("Retry-After: 0.") != std::string::npos);
  CHECK(bed.Arrived() <= 2);
}

TEST_CASE("an answer that breaks off never looks whole", "[gateway]")
{
  Bed bed;
  bed.List("plain");
  SECTION("a small one becomes a failure")
  {
    bed.SetScript([](auto& aConnection, auto& aHead) {
      const auto* id = FindHeader(aHead.m_headers, "X-Sapphirehook-Attempt-Id");
      aConnection.m_stream->Write(
        Concat("HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: ",
               *id,
               "\r\nContent-Length: 100\r\n\r\nhalf"));
      aConnection.m_stream->CloseAfterWrite();
    });
    CHECK(Bed::Is(bed.Ask("/once/x", "a"), 502));
  }
  SECTION("one without a length that is reset")
  {
    bed.SetScript([&](auto& aConnection, auto& aHead) {
      const auto* id = FindHeader(aHead.m_headers, "X-Sapphirehook-Attempt-Id");
      aConnection.m_stream->Write(
        Concat("HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: ",
               *id,
               "\r\n\r\n",
               std::string(200'000, 'x')));
      auto* stream = aConnection.m_stream.get();
      bed.m_loop.Defer([stream] { stream->Reset(); });
    });
    bed.Ask("/once/x", "a");
    CHECK(
      bed.Until([&] { return bed.m_callerEnded || Bed::Is(bed.m_got, 502); }));
    CHECK(bed.m_got.find("0\r\n\r\n") == std::string::npos);
  }
  SECTION("one without a length that ends in order is whole")
  {
    bed.SetScript([&](auto& aConnection, auto& aHead) {
      const auto* id = FindHeader(aHead.m_headers, "X-Sapphirehook-Attempt-Id");
      aConnection.m_stream->Write(Concat("HTTP/1.1 200 OK\r\n",
                                         "X-Sapphirehook-Attempt-Id: ",
                                         *id,
                                         "\r\n\r\nall of it"));
      aConnection.m_stream->CloseAfterWrite();
    });
    const auto answer = bed.Ask("/once/x", "a");
    CHECK(Bed::Is(answer, 200));
    CHECK(answer.find("all of it") != std::string::npos);
  }
}

TEST_CASE("bytes that belong to no request reach no caller", "[gateway]")
{
  Bed bed;
  bed.List("plain", false);
  bool late = false;
  bed.SetScript([&](auto& aConnection, auto& aHead) {
    if (late) {
      // The second answer to an earlier request comes first.
      aConnection.m_stream->Write(
        "HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: old\r\n"
        "Content-Length: 5\r\n\r\nstale");
    }
    ScriptedEndpoint::Serve(aConnection, aHead);
    if (!late) {
      aConnection.m_stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                  "X-Sapphirehook-Attempt-Id: a\r\n\r\nagain");
    }
  });
  SECTION("an extra answer behind the answer")
  {
    const auto first = bed.Ask("/safe/x", "a");
    CHECK(first.find("again") == std::string::npos);
    const auto second = bed.Ask("/safe/x", "b");
    CHECK(second.find("Attempt-Id: b") != std::string::npos);
    CHECK(second.find("again") == std::string::npos);
  }
  SECTION("an extra answer before the next answer")
  {
    late = true;
    const auto answer = bed.Ask("/safe/x", "b");
    CHECK(answer.find("stale") == std::string::npos);
    CHECK(answer.find("done") != std::string::npos);
  }
  SECTION("garbage")
  {
    bed.SetScript([](auto& aConnection, auto&) {
      aConnection.m_stream->Write("\x01\x02nothing of the kind\r\n\r\n");
    });
    CHECK(Bed::Is(bed.Ask("/once/x", "c"), 502));
  }
}

TEST_CASE("bytes without end from an endpoint end with the request",
          "[gateway]")
{
  Bed bed;
  bed.List("plain", false);
  std::string begin;
  std::string more;
  std::string looksWhole = "0\r\n\r\n";
  SECTION("that are no answer")
  {
    begin = "\x01\x02";
    more = std::string(16'384, '\x03');
  }
  SECTION("in a line of the head")
  {
    begin = "HTTP/1.1 200 OK\r\nX-Long: ";
    more = std::string(16'384, 'h');
  }
  SECTION("in lines of the head")
  {
    begin = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 200; ++i) {
      more += "X-More: of the same\r\n";
    }
  }
  SECTION("in a body that names no request")
  {
    begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    more = Concat("4000\r\n", std::string(16'384, 'b'), "\r\n");
  }
  SECTION("in answers to another request")
  {
    more = Concat("HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: other\r\n"
                  "Content-Length: 16384\r\n\r\n",
                  std::string(16'384, 'o'));
  }
  SECTION("in the body of the answer")
  {
    begin = "HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: a\r\n"
            "Transfer-Encoding: chunked\r\n\r\n";
    more = Concat("4000\r\n", std::string(16'384, 'b'), "\r\n");
  }
  SECTION("in the body of an answer without a length")
  {
    begin = "HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: a\r\n\r\n";
    more = std::string(16'384, 'b');
  }
  SECTION("in the size of a chunk")
  {
    begin = "HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: a\r\n"
            "Transfer-Encoding: chunked\r\n\r\n4000;";
    more = std::string(16'384, 'e');
  }
  TcpStream* stream = nullptr;
  bed.SetScript([&](auto& aConnection, auto&) {
    stream = aConnection.m_stream.get();
    stream->Write(begin);
  });
  Timer flood(bed.m_loop, [&] {
    if (stream != nullptr && bed.m_one.m_ended == 0 && stream->Unsent() == 0) {
      stream->Write(more);
    }
  });
  flood.StartEvery(Millis(1));
  const TimePoint asked = BootClock::now();
  bed.Send("GET /once/x HTTP/1.1\r\nHost: h\r\n"
           "X-Sapphirehook-Attempt-Id: a\r\n\r\n");
  // The route's timeout is 600 ms, and its final answer is due 500 ms later.
  CHECK(bed.Until([&] { return bed.m_one.m_ended == 1; }, Millis(1100)));
  CHECK(bed.Until(
    [&] {
      return bed.m_callerEnded ||
             (Bed::Is(bed.m_got, 502) &&
              bed.m_got.find("\r\n\r\n") != std::string::npos) ||
             Bed::Is(bed.m_got, 504);
    },
    std::chrono::duration_cast<Millis>(asked + Millis(1100) -
                                       BootClock::now())));
  const bool failed = Bed::Is(bed.m_got, 502) || Bed::Is(bed.m_got, 504);
  const auto end = bed.m_got.size() < looksWhole.size()
                     ? std::string()
                     : bed.m_got.substr(bed.m_got.size() - looksWhole.size());
  CHECK((failed || end != looksWhole));
  CHECK(bed.Arrived() == 1);
}

TEST_CASE("when a caller leaves, its request is given up at the endpoint",
          "[gateway]")
{
  Bed bed;
  bed.List("plain", false);
  bed.SetScript([](auto&, auto&) {});
  bed.Send("GET /safe/x HTTP/1.1\r\nHost: h\r\n"
           "X-Sapphirehook-Attempt-Id: a\r\n\r\n");
  REQUIRE(bed.Until([&] { return bed.Arrived() == 1; }));
  bed.m_caller->Close();
  CHECK(bed.Until([&] { return bed.m_one.m_ended == 1; }, Millis(400)));
}

TEST_CASE("a request has its final answer at its route's timeout", "[gateway]")
{
  Bed bed;
  bed.List("plain", false);
  bed.SetScript([](auto&, auto&) {});
  const TimePoint begin = BootClock::now();
  CHECK(Bed::Is(bed.Ask("/safe/x", "a", "X-Sapphirehook-Deadline-Ms: 5000\r\n"),
                504));
  const auto took = BootClock::now() - begin;
  CHECK(took >= Millis(590));
  CHECK(took < Millis(1100));
  CHECK(bed.m_one.m_deadlines.front() != "");
}

TEST_CASE("the endpoint is told what is left of the caller's wait", "[gateway]")
{
  Bed bed;
  bed.List("plain", false);
  bed.Ask("/safe/x", "a", "X-Sapphirehook-Deadline-Ms: 450\r\n");
  const auto left = ParseWholeNumber(bed.m_one.m_deadlines.front());
  REQUIRE(left.has_value());
  CHECK(*left <= 450);
  CHECK(*left > 300);
}

TEST_CASE("a key that its holder refuses waits for the map, then is served",
          "[gateway]")
{
  Bed bed;
  bed.List("keyed");
  bed.m_engine.SetRange("keyed", { { 0, 65535 }, "one", true });
  bed.m_one.m_script = [&](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Reply(aConnection,
                            aHead,
                            "421 Misdirected Request",
                            "X-Sapphirehook-Not-Executed: 1\r\n",
                            "");
    bed.m_engine.SetRange("keyed", { { 0, 65535 }, "two", true });
  };
  const auto answer =
    bed.Ask("/keyed/x", "a", "X-Sapphirehook-Shard-Key: 77\r\n");
  CHECK(Bed::Is(answer, 200));
  CHECK(bed.m_two.m_arrived.size() == 1);
}

TEST_CASE("a key without a holder is refused as not run", "[gateway]")
{
  Bed bed;
  bed.List("keyed");
  bed.m_engine.SetRange("keyed", { { 0, 65535 }, "one", false });
  CHECK(
    Bed::Is(bed.Ask("/keyed/x", "a", "X-Sapphirehook-Shard-Key: 77\r\n"), 503));
  CHECK(bed.Arrived() == 0);
}

TEST_CASE("a leaving endpoint gets no more work", "[gateway]")
{
  Bed bed;
  bed.List("plain");
  auto record = bed.m_one.Record("plain");
  record.m_draining = true;
  bed.m_directory.OnRecord(BootClock::now(), record);
  bed.m_engine.SetEndpoints(BootClock::now(), bed.m_directory);
  for (int i = 0; i < 6; ++i) {
    CHECK(Bed::Is(bed.Ask("/safe/x", Concat("id", i)), 200));
  }
  CHECK(bed.m_one.m_arrived.empty());
}

TEST_CASE("an endpoint without a listener costs no request", "[gateway]")
{
  Bed bed;
  bed.List("plain");
  bed.m_one.StopListening();
  for (int i = 0; i < 6; ++i) {
    CHECK(Bed::Is(bed.Ask("/once/x", Concat("id", i)), 200));
  }
}

TEST_CASE("an early answer leaves no half-sent body behind", "[gateway]")
{
  Bed bed;
  bed.List("plain", false);
  bed.m_one.m_script = [](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Reply(aConnection, aHead, "413 Too Large", "", "no");
  };
  bed.Send("POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n"
           "X-Sapphirehook-Attempt-Id: a\r\n\r\n" +
           std::string(1000, 'b'));
  REQUIRE(bed.Until([&] { return Bed::Is(bed.m_got, 413); }));
  bed.m_one.m_script = [](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Serve(aConnection, aHead);
  };
  bed.Send(std::string(49'000, 'b'));
  const auto answer = bed.Ask("/safe/x", "b");
  CHECK(Bed::Is(answer, 200));
  CHECK(bed.m_one.m_arrived.size() == 2);
}

TEST_CASE("a body is passed on whole, with a length or in chunks", "[gateway]")
{
  Bed bed;
  bed.List("plain", false);
  bed.SetScript([](auto&, auto&) {});
  const bool chunked = GENERATE(false, true);
  std::string body(30'000, 'q');
  std::string request = "POST /once/x HTTP/1.1\r\nHost: h\r\n"
                        "X-Sapphirehook-Attempt-Id: a\r\n";
  if (chunked) {
    request +=
      "Transfer-Encoding: chunked\r\n\r\n7530\r\n" + body + "\r\n0\r\n\r\n";
  } else {
    request += "Content-Length: 30000\r\n\r\n" + body;
  }
  bed.Send(request.substr(0, 9000));
  bed.Until([] { return false; }, Millis(20));
  bed.Send(request.substr(9000));
  CHECK(bed.Until([&] { return bed.m_one.m_bodies == body; }));
}

TEST_CASE("callers that break the rules get a clear answer and no service",
          "[gateway]")
{
  Bed bed;
  bed.List("plain");
  SECTION("a body beyond the limit")
  {
    bed.Send("POST /once/x HTTP/1.1\r\nHost: h\r\n"
             "Content-Length: 100001\r\n\r\n");
    CHECK(bed.Until([&] { return Bed::Is(bed.m_got, 413); }));
  }
  SECTION("a head that takes too long")
  {
    bed.Send("GET /safe/x HTTP/1.1\r\nHos");
    CHECK(bed.Until([&] { return Bed::Is(bed.m_got, 408); }, Millis(900)));
  }
  SECTION("no host")
  {
    bed.Send("GET /safe/x HTTP/1.1\r\n\r\n");
    CHECK(bed.Until([&] { return Bed::Is(bed.m_got, 400); }));
  }
  SECTION("two lengths")
  {
    bed.Send("POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
             "Content-Length: 2\r\n\r\nab");
    CHECK(bed.Until([&] { return Bed::Is(bed.m_got, 400); }));
  }
  CHECK(bed.Arrived() == 0);
}

TEST_CASE("a stopping daemon answers what it has and then closes", "[gateway]")
{
  Bed bed;
  bed.List("plain");
  CHECK(Bed::Is(bed.Ask("/safe/x", "a"), 200));
  bed.m_engine.BeginStop();
  const auto answer = bed.Ask("/safe/x", "b");
  CHECK(Bed::Is(answer, 200));
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(bed.Until([&] { return bed.m_callerEnded; }));
  CHECK(bed.m_engine.Unanswered() == 0);
}

TEST_CASE("an idle connection of a stopping daemon is closed", "[gateway]")
{
  Bed bed;
  bed.List("plain");
  CHECK(Bed::Is(bed.Ask("/safe/x", "a"), 200));
  bed.m_engine.BeginStop();
  bed.m_engine.CloseIdleCallers();
  CHECK(bed.Until([&] { return bed.m_callerEnded; }));
}

TEST_CASE("a request that would wait too long is refused at once", "[gateway]")
{
  Bed bed;
  bed.List("keyed");
  bed.m_engine.SetRange("keyed", { { 0, 65535 }, "one", true });
  EndpointUse use;
  use.m_endpoint = static_cast<std::uint32_t>(StableHash("one"));
  use.m_running = 8;
  const auto ask = [&](std::uint32_t aWaiting) {
    use.m_waiting = aWaiting;
    bed.m_engine.OnPeerUse(BootClock::now(), "peer", { use });
    const TimePoint asked = BootClock::now();
    const auto answer =
      bed.Ask("/keyed/x", "a", "X-Sapphirehook-Shard-Key: 77\r\n");
    CHECK(Bed::Is(answer, 503));
    CHECK(answer.find("Retry-After") != std::string::npos);
    return BootClock::now() - asked;
  };
  // Half of the objective is 200 ms; an answer takes 100 ms in each of 6 slots.
  CHECK(ask(30) < Millis(100));
  CHECK(ask(3) > Millis(150));
  CHECK(bed.Arrived() == 0);
}
