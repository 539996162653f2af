#include "sapphirehook/ownership/authority.hpp"

#include "sapphirehook/core/hash.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <unordered_set>

using namespace sapphirehook;

namespace {

constexpr unsigned kSeed = 20261204;
constexpr std::size_t kDaemons = 4;
constexpr std::size_t kMaxLog = 4;
constexpr std::chrono::nanoseconds kTick{ 1 };
constexpr std::chrono::nanoseconds kLease{ 2 };

HostId
Host(std::size_t aIndex)
{
  return { std::string(1, static_cast<char>('a' + aIndex)), 1 };
}

/** All daemons' parts in one group, the log, and the appends under way. */
template<typename Rules>
struct World
{
  struct Daemon
  {
    BasicGroupAuthority<Rules> m_authority;
    std::size_t m_read = 1;
    bool m_changePending = false;
  };

  TimePoint m_now{ std::chrono::nanoseconds(100) };
  std::vector<Group> m_log;
  std::vector<Daemon> m_daemons;
  std::vector<Group> m_pending;

  World()
  {
    m_log.push_back({ 1, 1, Host(0), { Host(1), Host(2) }, 1, 0 });
    for (std::size_t i = 0; i < kDaemons; ++i) {
      m_daemons.push_back({ { Host(i), { kLease, 0 } }, 1, false });
      m_daemons.back().m_authority.OnView(m_log.front());
    }
  }

  [[nodiscard]] std::size_t Leaders() const
  {
    std::size_t leaders = 0;
    for (const auto& daemon : m_daemons) {
      leaders += daemon.m_authority.HasAuthority(m_now) ? 1 : 0;
    }
    return leaders;
  }

  /** Times count only as far as they lie ahead. */
  [[nodiscard]] std::uint64_t Fingerprint() const
  {
    std::string text;
    const auto add = [&](std::uint64_t aValue) {
      text.append(reinterpret_cast<const char*>(&aValue), sizeof(aValue));
    };
    const auto ahead = [&](TimePoint aMoment) {
      add(aMoment > m_now
            ? static_cast<std::uint64_t>((aMoment - m_now).count())
            : 0);
    };
    const auto addGroup = [&](const Group& aGroup) {
      add(aGroup.m_version);
      add(aGroup.m_term);
      text += aGroup.m_dispatcher.m_host;
      for (const auto& host : aGroup.m_standbys) {
        text += host.m_host;
      }
    };
    for (const auto& group : m_log) {
      addGroup(group);
    }
    for (const auto& group : m_pending) {
      text += '|';
      addGroup(group);
    }
    for (const auto& daemon : m_daemons) {
      const auto& authority = daemon.m_authority;
      add(daemon.m_read);
      add(daemon.m_changePending ? 1 : 0);
      add(authority.HasSuspendedPromises() ? 1 : 0);
      add(authority.HasResigned() ? 1 : 0);
      ahead(authority.PromisedUntil());
      for (std::size_t i = 0; i < kDaemons; ++i) {
        ahead(authority.PromiseExpiry(Host(i)));
      }
      for (const auto& host : authority.RequiredStandbys()) {
        text += host.m_host;
      }
    }
    return StableHash(text);
  }
};

/** Which steps a search takes; a smaller scope lets it go deeper. */
struct Scope
{
  bool m_lostPromises = true;
  bool m_resumes = true;
  bool m_handovers = true;
  std::size_t m_maxPending = 2;
};

constexpr Scope kFullScope{};
constexpr Scope kDeepScope{ false, false, false, 1 };

/** One thing that a daemon, the network or the log does. */
struct Step
{
  enum class Kind : std::uint8_t
  {
    Tick,
    Read,
    Promise,
    LosePromise,
    SuspendPromises,
    Resume,
    Claim,
    Change,
    Handover,
    Land,
  };

  Kind m_kind = Kind::Tick;
  /** The acting daemon, or the place of a pending append. */
  std::uint8_t m_actor = 0;
  /** The other daemon, or the place in the list of standby choices. */
  std::uint8_t m_other = 0;
};

std::vector<HostId>
StandbyChoice(std::size_t aExcept, std::size_t aChoice)
{
  std::vector<HostId> others;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    if (i != aExcept && i != (aExcept + 1 + aChoice) % kDaemons) {
      others.push_back(Host(i));
    }
  }
  return others;
}

constexpr std::size_t kChoices = kDaemons - 1;

std::uint8_t
IndexOf(const HostId& aHost)
{
  return static_cast<std::uint8_t>(aHost.m_host[0] - 'a');
}

std::string
NameOf(const Step& aStep)
{
  const std::array<std::string, 10> names{
    "tick",   "read",  "promise", "lose promise", "withhold",
    "resume", "claim", "change",  "handover",     "land"
  };
  return names.at(static_cast<std::size_t>(aStep.m_kind)) + " " +
         std::to_string(aStep.m_actor) + " " + std::to_string(aStep.m_other);
}

template<typename Rules>
void
Give(World<Rules>& aWorld, const Step& aStep, bool aLost)
{
  auto& asker = aWorld.m_daemons[aStep.m_actor].m_authority;
  auto& giver = aWorld.m_daemons[aStep.m_other].m_authority;
  const auto request = asker.RequestFor({ "r", 0 }, Host(aStep.m_other));
  const bool given = giver.Promise(aWorld.m_now, Host(aStep.m_actor), request);
  if (given && !aLost) {
    asker.OnPromise(Host(aStep.m_other), request.m_term, aWorld.m_now);
  }
}

template<typename Rules>
void
Append(World<Rules>& aWorld, const Step& aStep)
{
  auto& daemon = aWorld.m_daemons[aStep.m_actor];
  const auto view = daemon.m_authority.View();
  Group record{
    view.m_term + 1, view.m_version + 1, Host(aStep.m_actor), {}, 1, 1
  };
  if (aStep.m_kind == Step::Kind::Handover) {
    record.m_dispatcher = Host(aStep.m_other);
    record.m_standbys = StandbyChoice(aStep.m_other, 0);
    daemon.m_authority.Resign();
  } else {
    record.m_standbys = StandbyChoice(aStep.m_actor, aStep.m_other);
  }
  if (aStep.m_kind == Step::Kind::Claim) {
    daemon.m_authority.MarkClaimed();
  }
  if (aStep.m_kind == Step::Kind::Change) {
    record.m_term = view.m_term;
    daemon.m_changePending =
      daemon.m_authority.ProposeStandbys(record.m_standbys);
  }
  aWorld.m_pending.push_back(record);
}

template<typename Rules>
void
Land(World<Rules>& aWorld, std::size_t aPlace)
{
  const auto record = aWorld.m_pending[aPlace];
  aWorld.m_pending.erase(aWorld.m_pending.begin() +
                         static_cast<std::ptrdiff_t>(aPlace));
  const bool accepted = record.m_version == aWorld.m_log.back().m_version + 1 &&
                        aWorld.m_log.size() < kMaxLog;
  if (accepted) {
    aWorld.m_log.push_back(record);
  }
}

template<typename Rules>
void
Apply(World<Rules>& aWorld, const Step& aStep)
{
  auto& daemon = aWorld.m_daemons[aStep.m_actor];
  switch (aStep.m_kind) {
    case Step::Kind::Tick:
      aWorld.m_now += kTick;
      break;
    case Step::Kind::Read:
      daemon.m_authority.OnView(aWorld.m_log[daemon.m_read++]);
      daemon.m_changePending = false;
      break;
    case Step::Kind::Promise:
      Give(aWorld, aStep, false);
      break;
    case Step::Kind::LosePromise:
      Give(aWorld, aStep, true);
      break;
    case Step::Kind::SuspendPromises:
      daemon.m_authority.SuspendPromises();
      break;
    case Step::Kind::Resume:
      daemon.m_authority.ResumePromises();
      break;
    case Step::Kind::Claim:
    case Step::Kind::Change:
    case Step::Kind::Handover:
      Append(aWorld, aStep);
      break;
    case Step::Kind::Land:
      Land(aWorld, aStep.m_actor);
      break;
  }
}

template<typename Rules>
void
AddAppends(const World<Rules>& aWorld,
           std::uint8_t aActor,
           const Scope& aScope,
           std::vector<Step>& aSteps)
{
  const auto& daemon = aWorld.m_daemons[aActor];
  const auto& authority = daemon.m_authority;
  const bool leads = authority.IsDispatcher() && !authority.HasResigned();
  for (std::uint8_t choice = 0; choice < kChoices; ++choice) {
    if (authority.MayClaim(aWorld.m_now)) {
      aSteps.push_back({ Step::Kind::Claim, aActor, choice });
    }
    if (leads && !daemon.m_changePending) {
      aSteps.push_back({ Step::Kind::Change, aActor, choice });
    }
  }
  if (leads && aScope.m_handovers) {
    for (const auto& heir : authority.View().m_standbys) {
      aSteps.push_back({ Step::Kind::Handover, aActor, IndexOf(heir) });
    }
  }
}

/** Every step that can come next. */
template<typename Rules>
std::vector<Step>
StepsOf(const World<Rules>& aWorld, const Scope& aScope)
{
  std::vector<Step> steps{ { Step::Kind::Tick, 0, 0 } };
  for (std::uint8_t i = 0; i < kDaemons; ++i) {
    const auto& daemon = aWorld.m_daemons[i];
    const auto& authority = daemon.m_authority;
    if (daemon.m_read < aWorld.m_log.size()) {
      steps.push_back({ Step::Kind::Read, i, 0 });
    }
    if (authority.IsDispatcher() && !authority.HasResigned()) {
      for (const auto& standby : authority.RequiredStandbys()) {
        steps.push_back({ Step::Kind::Promise, i, IndexOf(standby) });
        if (aScope.m_lostPromises) {
          steps.push_back({ Step::Kind::LosePromise, i, IndexOf(standby) });
        }
      }
    }
    if (authority.IsStandby() && !authority.HasSuspendedPromises()) {
      steps.push_back({ Step::Kind::SuspendPromises, i, 0 });
    }
    if (authority.HasSuspendedPromises() && aScope.m_resumes) {
      steps.push_back({ Step::Kind::Resume, i, 0 });
    }
    if (aWorld.m_pending.size() < aScope.m_maxPending) {
      AddAppends(aWorld, i, aScope, steps);
    }
  }
  for (std::uint8_t p = 0; p < aWorld.m_pending.size(); ++p) {
    steps.push_back({ Step::Kind::Land, p, 0 });
  }
  return steps;
}

using Path = std::vector<Step>;

std::string
TraceOf(const Path& aPath)
{
  std::string trace;
  for (const auto& step : aPath) {
    trace += NameOf(step) + "; ";
  }
  return trace;
}

struct SearchResult
{
  std::string m_trace;
  std::size_t m_states = 0;
  std::size_t m_depth = 0;
};

/** Breadth-first search, so that a trace found is a shortest one. */
template<typename Rules>
SearchResult
Search(const Scope& aScope, std::size_t aMaxDepth, std::size_t aMaxStates)
{
  SearchResult result;
  std::unordered_set<std::uint64_t> seen;
  std::vector<Path> frontier{ Path{} };
  while (result.m_depth < aMaxDepth && !frontier.empty()) {
    std::vector<Path> next;
    for (const auto& path : frontier) {
      World<Rules> world;
      for (const auto& step : path) {
        Apply(world, step);
      }
      for (const auto& step : StepsOf(world, aScope)) {
        auto after = world;
        Apply(after, step);
        if (!seen.insert(after.Fingerprint()).second) {
          continue;
        }
        auto longer = path;
        longer.push_back(step);
        if (after.Leaders() > 1) {
          result.m_trace = TraceOf(longer);
          return result;
        }
        next.push_back(std::move(longer));
      }
      if (seen.size() > aMaxStates) {
        result.m_states = seen.size();
        return result;
      }
    }
    frontier = std::move(next);
    ++result.m_depth;
  }
  result.m_states = seen.size();
  return result;
}

/** Random walks, which go deeper than a search. Each tick that comes up is
    taken with the given probability only. */
template<typename Rules>
std::string
Walk(const Scope& aScope,
     std::size_t aWalks,
     std::size_t aSteps,
     double aTickShare)
{
  std::mt19937 random(kSeed);
  std::uniform_real_distribution<double> share(0, 1);
  for (std::size_t walk = 0; walk < aWalks; ++walk) {
    World<Rules> world;
    Path path;
    while (path.size() < aSteps) {
      const auto steps = StepsOf(world, aScope);
      std::uniform_int_distribution<std::size_t> pick(0, steps.size() - 1);
      const auto step = steps[pick(random)];
      if (step.m_kind == Step::Kind::Tick && share(random) > aTickShare) {
        continue;
      }
      path.push_back(step);
      Apply(world, step);
      if (world.Leaders() > 1) {
        return TraceOf(path);
      }
    }
  }
  return {};
}

struct NoUnion : AuthorityRules
{
  static constexpr bool kUnionOfStandbys = false;
};

struct NoWithhold : AuthorityRules
{
  static constexpr bool kSuspendPromises = false;
};

struct NoWait : AuthorityRules
{
  static constexpr bool kWaitBeforeClaim = false;
};

struct OldTerms : AuthorityRules
{
  static constexpr bool kRefuseOlderTerms = false;
};

constexpr std::size_t kFullDepth = 7;
constexpr std::size_t kDeepDepth = 16;
constexpr std::size_t kDeepStates = 600'000;
constexpr std::size_t kMutantStates = 100'000;
constexpr std::size_t kMutantWalks = 4'000'000;
constexpr std::size_t kMutantWalkSteps = 30;
constexpr double kMutantTickShare = 0.05;
constexpr std::size_t kWalks = 10'000;
constexpr std::size_t kWalkSteps = 80;

} // namespace

TEST_CASE("no two dispatchers in any interleaving of small scope",
          "[authority]")
{
  const auto full = Search<AuthorityRules>(kFullScope, kFullDepth, kDeepStates);
  INFO(full.m_trace);
  CHECK(full.m_trace.empty());
  CHECK(full.m_depth == kFullDepth);
  const auto deep = Search<AuthorityRules>(kDeepScope, kDeepDepth, kDeepStates);
  INFO(deep.m_trace);
  CHECK(deep.m_trace.empty());
  CHECK(deep.m_states > kDeepStates / 2);
  WARN("full scope: " << full.m_states << " states to depth " << full.m_depth
                      << "; deep scope: " << deep.m_states
                      << " states to depth " << deep.m_depth);
}

TEST_CASE("no two dispatchers in long random interleavings", "[authority]")
{
  const auto trace = Walk<AuthorityRules>(kFullScope, kWalks, kWalkSteps, 1);
  INFO(trace);
  CHECK(trace.empty());
}

TEMPLATE_TEST_CASE("without one rule two dispatchers are found",
                   "[authority]",
                   NoUnion,
                   NoWithhold,
                   NoWait,
                   OldTerms)
{
  auto trace = Search<TestType>(kDeepScope, kDeepDepth, kMutantStates).m_trace;
  if (trace.empty()) {
    trace = Walk<TestType>(
      kDeepScope, kMutantWalks, kMutantWalkSteps, kMutantTickShare);
  }
  CHECK_FALSE(trace.empty());
  WARN("trace: " << trace);
}
