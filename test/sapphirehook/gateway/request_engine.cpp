#include "engine_fixture.hpp"

#include <sys/socket.h>
#include <unistd.h>

using namespace sapphirehook;
using namespace sapphirehook::engine_fixture;

TEST_CASE(
  "requests are answered one after the other on a persistent connection",
  "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  for (int i = 0; i < 5; ++i) {
    const auto answer = fixture.Ask("/safe/x", Concat("id", i));
    CHECK(Fixture::HasStatus(answer, 200));
    CHECK(answer.find(Concat("X-Sapphirehook-Attempt-Id: id", i)) !=
          std::string::npos);
    CHECK(answer.substr(answer.size() - 4) == "done");
  }
  CHECK(fixture.Arrived() == 5);
  CHECK(Fixture::HasStatus(fixture.Ask("/none/x", "idn"), 404));
}

TEST_CASE(
  "a daemon whose routes may be outdated does not answer that there is no "
  "route",
  "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  bool mayLackRoutes = true;
  fixture.m_engine.m_routesMayBeStale = [&] { return mayLackRoutes; };
  const auto answer = fixture.Ask("/none/x", "id1");
  CHECK(Fixture::HasStatus(answer, 503));
  CHECK(answer.find("Retry-After: 0.3") != std::string::npos);
  CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "id2"), 200));
  mayLackRoutes = false;
  CHECK(Fixture::HasStatus(fixture.Ask("/none/x", "id3"), 404));
}

TEST_CASE(
  "requests for a route that this version cannot apply are refused, not "
  "denied",
  "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  auto config = fixture.m_engine.Routes()->Config();
  auto route = config.m_routes.front();
  route.m_prefix = "/safe/new/";
  route.m_isUsable = false;
  config.m_routes.push_back(route);
  config.m_hostsWithUnknownPrefix.insert("G");
  fixture.m_engine.SetRoutes(std::make_shared<const RouteTable>(config));
  // The route with the shorter prefix does not take its place.
  CHECK(Fixture::HasStatus(fixture.Ask("/safe/new/x", "id1"), 503));
  CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "id2"), 200));
  CHECK(Fixture::HasStatus(fixture.Ask("/none/x", "id3"), 404));
  fixture.m_received.clear();
  fixture.Send("GET /none/x HTTP/1.1\r\nHost: g\r\n"
               "X-Sapphirehook-Attempt-Id: id4\r\n\r\n");
  REQUIRE(fixture.Until([&] { return !fixture.m_received.empty(); }));
  CHECK(Fixture::HasStatus(fixture.m_received, 503));
  CHECK(fixture.Arrived() == 1);
}

TEST_CASE("pipelined requests receive their answers in order", "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  std::string both;
  for (const char* id : { "p1", "p2", "p3" }) {
    both += Concat("GET /safe/x HTTP/1.1\r\nHost: h\r\n",
                   "X-Sapphirehook-Attempt-Id: ",
                   id,
                   "\r\n\r\n");
  }
  fixture.Send(both);
  REQUIRE(fixture.Until(
    [&] { return fixture.m_received.find("p3") != std::string::npos; }));
  CHECK(fixture.m_received.find("p1") < fixture.m_received.find("p2"));
  CHECK(fixture.m_received.find("p2") < fixture.m_received.find("p3"));
}

TEST_CASE(
  "a request that was lost with its connection is repeated only if it is "
  "idempotent",
  "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  int sent = 0;
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    if (++sent == 1) {
      aConnection.m_stream->Reset();
    } else {
      ScriptedEndpoint::Serve(aConnection, aHead);
    }
  });
  SECTION("idempotent")
  {
    // The retry budget allows a repeat.
    CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "a"), 200));
    CHECK(fixture.Arrived() == 2);
  }
  SECTION("never-repeat")
  {
    CHECK(Fixture::HasStatus(fixture.Ask("/once/x", "a"), 502));
    CHECK(fixture.Arrived() == 1);
  }
}

TEST_CASE("a refusal as not run applies only to requests that have not run and "
          "has a Retry-After header",
          "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  fixture.SetScript([](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Reply(aConnection,
                            aHead,
                            "503 Service Unavailable",
                            "X-Sapphirehook-Not-Executed: 1\r\n",
                            "");
  });
  const auto answer = fixture.Ask("/once/x", "a");
  CHECK(Fixture::HasStatus(answer, 503));
  CHECK(answer.find("Retry-After: 0.") != std::string::npos);
  CHECK(fixture.Arrived() <= 2);
}

TEST_CASE("a truncated answer never appears complete", "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  SECTION("a small truncated answer becomes a failure")
  {
    fixture.SetScript([](auto& aConnection, auto& aHead) {
      ScriptedEndpoint::ReplyTruncated(aConnection, aHead, 100, "half");
    });
    CHECK(Fixture::HasStatus(fixture.Ask("/once/x", "a"), 502));
  }
  SECTION("an answer without a length whose connection is reset")
  {
    fixture.SetScript([&](auto& aConnection, auto& aHead) {
      const auto* id = FindHeader(aHead.m_headers, "X-Sapphirehook-Attempt-Id");
      aConnection.m_stream->Write(
        Concat("HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: ",
               *id,
               "\r\n\r\n",
               std::string(200'000, 'x')));
      auto* stream = aConnection.m_stream.get();
      fixture.m_loop.Defer([stream] { stream->Reset(); });
    });
    fixture.Ask("/once/x", "a");
    CHECK(fixture.Until([&] {
      return fixture.m_callerEnded ||
             Fixture::HasStatus(fixture.m_received, 502);
    }));
    CHECK(fixture.m_received.find("0\r\n\r\n") == std::string::npos);
  }
  SECTION("an answer without a length that ends with a close is complete")
  {
    fixture.SetScript([&](auto& aConnection, auto& aHead) {
      const auto* id = FindHeader(aHead.m_headers, "X-Sapphirehook-Attempt-Id");
      aConnection.m_stream->Write(Concat("HTTP/1.1 200 OK\r\n",
                                         "X-Sapphirehook-Attempt-Id: ",
                                         *id,
                                         "\r\n\r\nall of it"));
      aConnection.m_stream->CloseAfterWrite();
    });
    const auto answer = fixture.Ask("/once/x", "a");
    CHECK(Fixture::HasStatus(answer, 200));
    CHECK(answer.find("all of it") != std::string::npos);
  }
}

TEST_CASE("bytes that do not belong to a request reach no caller", "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  bool late = false;
  fixture.SetScript([&](auto& aConnection, auto& aHead) {
    if (late) {
      // A second answer to an earlier request precedes the answer.
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
  SECTION("an extra answer after the answer")
  {
    const auto first = fixture.Ask("/safe/x", "a");
    CHECK(first.find("again") == std::string::npos);
    const auto second = fixture.Ask("/safe/x", "b");
    CHECK(second.find("Attempt-Id: b") != std::string::npos);
    CHECK(second.find("again") == std::string::npos);
  }
  SECTION("an extra answer before the next answer")
  {
    late = true;
    const auto answer = fixture.Ask("/safe/x", "b");
    CHECK(answer.find("stale") == std::string::npos);
    CHECK(answer.find("done") != std::string::npos);
  }
  SECTION("garbage")
  {
    fixture.SetScript([](auto& aConnection, auto&) {
      aConnection.m_stream->Write("\x01\x02nothing of the kind\r\n\r\n");
    });
    CHECK(Fixture::HasStatus(fixture.Ask("/once/x", "c"), 502));
  }
}

TEST_CASE(
  "an endless stream of bytes from an endpoint is cut off when the request "
  "times out",
  "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  std::string begin;
  std::string more;
  std::string looksWhole = "0\r\n\r\n";
  SECTION("bytes that are not HTTP")
  {
    begin = "\x01\x02";
    more = std::string(16'384, '\x03');
  }
  SECTION("an endless line in the head")
  {
    begin = "HTTP/1.1 200 OK\r\nX-Long: ";
    more = std::string(16'384, 'h');
  }
  SECTION("endless lines in the head")
  {
    begin = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 200; ++i) {
      more += "X-More: of the same\r\n";
    }
  }
  SECTION("an endless body of an answer that names no request")
  {
    begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    more = Concat("4000\r\n", std::string(16'384, 'b'), "\r\n");
  }
  SECTION("endless answers to another request")
  {
    more = Concat("HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: other\r\n"
                  "Content-Length: 16384\r\n\r\n",
                  std::string(16'384, 'o'));
  }
  SECTION("an endless body of the answer")
  {
    begin = "HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: a\r\n"
            "Transfer-Encoding: chunked\r\n\r\n";
    more = Concat("4000\r\n", std::string(16'384, 'b'), "\r\n");
  }
  SECTION("an endless body of an answer without a length")
  {
    begin = "HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: a\r\n\r\n";
    more = std::string(16'384, 'b');
  }
  SECTION("an endless chunk size line")
  {
    begin = "HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: a\r\n"
            "Transfer-Encoding: chunked\r\n\r\n4000;";
    more = std::string(16'384, 'e');
  }
  TcpStream* stream = nullptr;
  fixture.SetScript([&](auto& aConnection, auto&) {
    stream = aConnection.m_stream.get();
    stream->Write(begin);
  });
  Timer flood(fixture.m_loop, [&] {
    if (stream != nullptr && fixture.m_one.m_ended == 0 &&
        stream->Unsent() == 0) {
      stream->Write(more);
    }
  });
  flood.StartEvery(Millis(1));
  const TimePoint asked = BootClock::now();
  fixture.Send("GET /once/x HTTP/1.1\r\nHost: h\r\n"
               "X-Sapphirehook-Attempt-Id: a\r\n\r\n");
  // The timeout of the route is 600 ms, and the final answer is due 500 ms
  // later.
  CHECK(
    fixture.Until([&] { return fixture.m_one.m_ended == 1; }, Millis(1100)));
  CHECK(fixture.Until(
    [&] {
      return fixture.m_callerEnded ||
             (Fixture::HasStatus(fixture.m_received, 502) &&
              fixture.m_received.find("\r\n\r\n") != std::string::npos) ||
             Fixture::HasStatus(fixture.m_received, 504);
    },
    std::chrono::duration_cast<Millis>(asked + Millis(1100) -
                                       BootClock::now())));
  const bool failed = Fixture::HasStatus(fixture.m_received, 502) ||
                      Fixture::HasStatus(fixture.m_received, 504);
  const auto end = fixture.m_received.size() < looksWhole.size()
                     ? std::string()
                     : fixture.m_received.substr(fixture.m_received.size() -
                                                 looksWhole.size());
  CHECK((failed || end != looksWhole));
  CHECK(fixture.Arrived() == 1);
}

TEST_CASE("when a caller disconnects, its request is aborted at the endpoint",
          "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  fixture.SetScript([](auto&, auto&) {});
  fixture.Send("GET /safe/x HTTP/1.1\r\nHost: h\r\n"
               "X-Sapphirehook-Attempt-Id: a\r\n\r\n");
  REQUIRE(fixture.Until([&] { return fixture.Arrived() == 1; }));
  fixture.m_caller->Close();
  CHECK(fixture.Until([&] { return fixture.m_one.m_ended == 1; }, Millis(400)));
}

TEST_CASE("a request receives its final answer at the timeout of its route",
          "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  fixture.SetScript([](auto&, auto&) {});
  const TimePoint begin = BootClock::now();
  CHECK(Fixture::HasStatus(
    fixture.Ask("/safe/x", "a", "X-Sapphirehook-Deadline-Ms: 5000\r\n"), 504));
  const auto took = BootClock::now() - begin;
  CHECK(took >= Millis(590));
  CHECK(took < Millis(1100));
  CHECK(fixture.m_one.m_deadlines.front() != "");
}

TEST_CASE("a deadline beyond any request's duration does not limit the request",
          "[gateway]")
{
  const auto* millis =
    GENERATE("9223372036854775807", "18446744073709551615", "9223372036854775");
  Fixture fixture;
  fixture.List("plain", false);
  CHECK(Fixture::HasStatus(
    fixture.Ask(
      "/safe/x", "a", Concat("X-Sapphirehook-Deadline-Ms: ", millis, "\r\n")),
    200));
}

TEST_CASE("the endpoint receives the remaining time of the caller's deadline",
          "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  fixture.Ask("/safe/x", "a", "X-Sapphirehook-Deadline-Ms: 450\r\n");
  const auto left = ParseWholeNumber(fixture.m_one.m_deadlines.front());
  REQUIRE(left.has_value());
  CHECK(*left <= 450);
  CHECK(*left > 300);
}

TEST_CASE(
  "a request whose key the holder refuses waits for a map update and is "
  "then served",
  "[gateway]")
{
  Fixture fixture;
  fixture.List("keyed");
  fixture.m_engine.SetRange("keyed", { { 0, 65535 }, "one", true });
  fixture.m_one.m_script = [&](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Reply(aConnection,
                            aHead,
                            "421 Misdirected Request",
                            "X-Sapphirehook-Not-Executed: 1\r\n",
                            "");
    fixture.m_engine.SetRange("keyed", { { 0, 65535 }, "two", true });
  };
  const auto answer =
    fixture.Ask("/keyed/x", "a", "X-Sapphirehook-Shard-Key: 77\r\n");
  CHECK(Fixture::HasStatus(answer, 200));
  CHECK(fixture.m_two.m_arrived.size() == 1);
}

TEST_CASE("a request for a key without a holder is refused as not run",
          "[gateway]")
{
  Fixture fixture;
  fixture.List("keyed");
  fixture.m_engine.SetRange("keyed", { { 0, 65535 }, "one", false });
  CHECK(Fixture::HasStatus(
    fixture.Ask("/keyed/x", "a", "X-Sapphirehook-Shard-Key: 77\r\n"), 503));
  CHECK(fixture.Arrived() == 0);
}

TEST_CASE("a leaving endpoint receives no more requests", "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  auto record = fixture.m_one.Record("plain");
  record.m_draining = true;
  fixture.m_directory.OnRecord(BootClock::now(), record);
  fixture.m_engine.SetEndpoints(BootClock::now(), fixture.m_directory);
  for (int i = 0; i < 6; ++i) {
    CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", Concat("id", i)), 200));
  }
  CHECK(fixture.m_one.m_arrived.empty());
}

TEST_CASE("no request fails because of an endpoint that does not listen",
          "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  fixture.m_one.StopListening();
  for (int i = 0; i < 6; ++i) {
    CHECK(Fixture::HasStatus(fixture.Ask("/once/x", Concat("id", i)), 200));
  }
}

TEST_CASE(
  "a request that reached no endpoint by its deadline is refused as not "
  "run",
  "[gateway]")
{
  // Connections to the endpoint hang: the queue of its listening socket is
  // full.
  const auto address = support::FreeAddress();
  const int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(bind(listening,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof address) == 0);
  REQUIRE(listen(listening, 0) == 0);
  Fixture fixture;
  std::vector<std::unique_ptr<TcpStream>> others;
  for (int i = 0; i < 8; ++i) {
    others.push_back(
      std::make_unique<TcpStream>(fixture.m_loop, StreamEvents{}));
    others.back()->Connect(address, kTimeout, kTimeout);
  }
  fixture.Until([] { return false; }, Millis(50));
  auto record = fixture.m_one.Record("plain");
  record.m_address = address;
  fixture.m_directory.OnRecord(BootClock::now(), record);
  fixture.m_engine.SetEndpoints(BootClock::now(), fixture.m_directory);
  // The attempt to connect is in progress at the deadline.
  const auto answer =
    fixture.Ask("/once/x", "a", "X-Sapphirehook-Deadline-Ms: 250\r\n");
  CHECK(Fixture::HasStatus(answer, 503));
  CHECK(answer.find("Retry-After") != std::string::npos);
  close(listening);
}

TEST_CASE(
  "an early answer does not corrupt the next request with the rest of the "
  "body",
  "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  fixture.m_one.m_script = [](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Reply(aConnection, aHead, "413 Too Large", "", "no");
  };
  fixture.Send("POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n"
               "X-Sapphirehook-Attempt-Id: a\r\n\r\n" +
               std::string(1000, 'b'));
  REQUIRE(
    fixture.Until([&] { return Fixture::HasStatus(fixture.m_received, 413); }));
  fixture.m_one.m_script = [](auto& aConnection, auto& aHead) {
    ScriptedEndpoint::Serve(aConnection, aHead);
  };
  fixture.Send(std::string(49'000, 'b'));
  const auto answer = fixture.Ask("/safe/x", "b");
  CHECK(Fixture::HasStatus(answer, 200));
  CHECK(fixture.m_one.m_arrived.size() == 2);
}

TEST_CASE("a body is forwarded completely, with a length or in chunks",
          "[gateway]")
{
  Fixture fixture;
  fixture.List("plain", false);
  fixture.SetScript([](auto&, auto&) {});
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
  fixture.Send(request.substr(0, 9000));
  fixture.Until([] { return false; }, Millis(20));
  fixture.Send(request.substr(9000));
  CHECK(fixture.Until([&] { return fixture.m_one.m_bodies == body; }));
}

TEST_CASE(
  "requests that violate the protocol or a limit receive an error status "
  "and are not forwarded",
  "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  SECTION("a body larger than the limit")
  {
    fixture.Send("POST /once/x HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 100001\r\n\r\n");
    CHECK(fixture.Until(
      [&] { return Fixture::HasStatus(fixture.m_received, 413); }));
  }
  SECTION("a head that takes too long")
  {
    fixture.Send("GET /safe/x HTTP/1.1\r\nHos");
    CHECK(
      fixture.Until([&] { return Fixture::HasStatus(fixture.m_received, 408); },
                    Millis(900)));
  }
  SECTION("no Host header")
  {
    fixture.Send("GET /safe/x HTTP/1.1\r\n\r\n");
    CHECK(fixture.Until(
      [&] { return Fixture::HasStatus(fixture.m_received, 400); }));
  }
  SECTION("two Content-Length headers")
  {
    fixture.Send("POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                 "Content-Length: 2\r\n\r\nab");
    CHECK(fixture.Until(
      [&] { return Fixture::HasStatus(fixture.m_received, 400); }));
  }
  CHECK(fixture.Arrived() == 0);
}

TEST_CASE(
  "a stopping daemon answers its requests and then closes the connections",
  "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "a"), 200));
  fixture.BeginStop();
  const auto answer = fixture.Ask("/safe/x", "b");
  CHECK(Fixture::HasStatus(answer, 200));
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(fixture.Until([&] { return fixture.m_callerEnded; }));
  CHECK(fixture.m_engine.Unanswered() == 0);
}

TEST_CASE("an idle connection of a stopping daemon is closed", "[gateway]")
{
  Fixture fixture;
  fixture.List("plain");
  CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "a"), 200));
  fixture.BeginStop();
  fixture.m_engine.CloseIdleCallers();
  CHECK(fixture.Until([&] { return fixture.m_callerEnded; }));
}

TEST_CASE("a request whose expected wait is too long is refused at once",
          "[gateway]")
{
  Fixture fixture;
  fixture.List("keyed");
  fixture.m_engine.SetRange("keyed", { { 0, 65535 }, "one", true });
  EndpointUse use;
  use.m_endpoint = static_cast<std::uint32_t>(StableHash("one"));
  use.m_running = 8;
  const auto ask = [&](std::uint32_t aWaiting) {
    use.m_waiting = aWaiting;
    fixture.m_engine.OnPeerUse(BootClock::now(), "peer", { use });
    const TimePoint asked = BootClock::now();
    const auto answer =
      fixture.Ask("/keyed/x", "a", "X-Sapphirehook-Shard-Key: 77\r\n");
    CHECK(Fixture::HasStatus(answer, 503));
    CHECK(answer.find("Retry-After") != std::string::npos);
    return BootClock::now() - asked;
  };
  // The maximum wait is half of the objective, 200 ms. An answer occupies one
  // of 6 slots for 100 ms.
  CHECK(ask(30) < Millis(100));
  CHECK(ask(3) > Millis(150));
  CHECK(fixture.Arrived() == 0);
}
