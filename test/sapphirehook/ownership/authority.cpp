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

/** The group's state at every daemon, the log, and the appends in flight. */
template<typename Rules>
struct ClusterModel
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

  ClusterModel()
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

  /** Returns a hash of the state. Expiry times enter relative to the current
      time, and expired ones as zero, so that equal states at different times
      have equal hashes. */
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

/** The kinds of steps that a search takes. A smaller scope allows a greater
    depth. */
struct Scope
{
  bool m_lostPromises = true;
  bool m_resumes = true;
  bool m_handovers = true;
  std::size_t m_maxPending = 2;
};

constexpr Scope kFullScope{};
constexpr Scope kDeepScope{ false, false, false, 1 };

/** One action of a daemon, the network or the log. */
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
    CompleteAppend,
  };

  Kind m_kind = Kind::Tick;
  /** Index of the acting daemon, or of a pending append. */
  std::uint8_t m_actor = 0;
  /** Index of the other daemon, or of a standby choice. */
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
    "tick",   "read",  "promise", "lose promise", "suspend promises",
    "resume", "claim", "change",  "handover",     "complete append"
  };
  return names.at(static_cast<std::size_t>(aStep.m_kind)) + " " +
         std::to_string(aStep.m_actor) + " " + std::to_string(aStep.m_other);
}

template<typename Rules>
void
RequestPromise(ClusterModel<Rules>& aModel, const Step& aStep, bool aLost)
{
  auto& requester = aModel.m_daemons[aStep.m_actor].m_authority;
  auto& responder = aModel.m_daemons[aStep.m_other].m_authority;
  const auto request = requester.RequestFor({ "r", 0 }, Host(aStep.m_other));
  const bool promised =
    responder.Promise(aModel.m_now, Host(aStep.m_actor), request);
  if (promised && !aLost) {
    requester.OnPromise(Host(aStep.m_other), request.m_term, aModel.m_now);
  }
}

template<typename Rules>
void
Append(ClusterModel<Rules>& aModel, const Step& aStep)
{
  auto& daemon = aModel.m_daemons[aStep.m_actor];
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
  aModel.m_pending.push_back(record);
}

template<typename Rules>
void
CompleteAppend(ClusterModel<Rules>& aModel, std::size_t aPlace)
{
  const auto record = aModel.m_pending[aPlace];
  aModel.m_pending.erase(aModel.m_pending.begin() +
                         static_cast<std::ptrdiff_t>(aPlace));
  const bool accepted = record.m_version == aModel.m_log.back().m_version + 1 &&
                        aModel.m_log.size() < kMaxLog;
  if (accepted) {
    aModel.m_log.push_back(record);
  }
}

template<typename Rules>
void
Apply(ClusterModel<Rules>& aModel, const Step& aStep)
{
  auto& daemon = aModel.m_daemons[aStep.m_actor];
  switch (aStep.m_kind) {
    case Step::Kind::Tick:
      aModel.m_now += kTick;
      break;
    case Step::Kind::Read:
      daemon.m_authority.OnView(aModel.m_log[daemon.m_read++]);
      daemon.m_changePending = false;
      break;
    case Step::Kind::Promise:
      RequestPromise(aModel, aStep, false);
      break;
    case Step::Kind::LosePromise:
      RequestPromise(aModel, aStep, true);
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
      Append(aModel, aStep);
      break;
    case Step::Kind::CompleteAppend:
      CompleteAppend(aModel, aStep.m_actor);
      break;
  }
}

template<typename Rules>
void
AddAppends(const ClusterModel<Rules>& aModel,
           std::uint8_t aActor,
           const Scope& aScope,
           std::vector<Step>& aSteps)
{
  const auto& daemon = aModel.m_daemons[aActor];
  const auto& authority = daemon.m_authority;
  const bool leads = authority.IsDispatcher() && !authority.HasResigned();
  for (std::uint8_t choice = 0; choice < kChoices; ++choice) {
    if (authority.MayClaim(aModel.m_now)) {
      aSteps.push_back({ Step::Kind::Claim, aActor, choice });
    }
    if (leads && !daemon.m_changePending) {
      aSteps.push_back({ Step::Kind::Change, aActor, choice });
    }
  }
  if (leads && aScope.m_handovers) {
    for (const auto& successor : authority.View().m_standbys) {
      aSteps.push_back({ Step::Kind::Handover, aActor, IndexOf(successor) });
    }
  }
}

/** Returns every step that is possible next. */
template<typename Rules>
std::vector<Step>
StepsOf(const ClusterModel<Rules>& aModel, const Scope& aScope)
{
  std::vector<Step> steps{ { Step::Kind::Tick, 0, 0 } };
  for (std::uint8_t i = 0; i < kDaemons; ++i) {
    const auto& daemon = aModel.m_daemons[i];
    const auto& authority = daemon.m_authority;
    if (daemon.m_read < aModel.m_log.size()) {
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
    if (aModel.m_pending.size() < aScope.m_maxPending) {
      AddAppends(aModel, i, aScope, steps);
    }
  }
  for (std::uint8_t p = 0; p < aModel.m_pending.size(); ++p) {
    steps.push_back({ Step::Kind::CompleteAppend, p, 0 });
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

/** Searches breadth-first, so that a trace found is a shortest one. Stops after
    a state with two leaders, at the maximum depth, or above the maximum number
    of states. */
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
      ClusterModel<Rules> model;
      for (const auto& step : path) {
        Apply(model, step);
      }
      for (const auto& step : StepsOf(model, aScope)) {
        auto after = model;
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

/** Takes random walks, which reach a greater depth than a search. A drawn tick
    is taken only with the probability `aTickShare`. */
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
    ClusterModel<Rules> model;
    Path path;
    while (path.size() < aSteps) {
      const auto steps = StepsOf(model, aScope);
      std::uniform_int_distribution<std::size_t> pick(0, steps.size() - 1);
      const auto step = steps[pick(random)];
      if (step.m_kind == Step::Kind::Tick && share(random) > aTickShare) {
        continue;
      }
      path.push_back(step);
      Apply(model, step);
      if (model.Leaders() > 1) {
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

struct NoPromiseSuspension : AuthorityRules
{
  static constexpr bool kSuspendPromises = false;
};

struct NoWait : AuthorityRules
{
  static constexpr bool kWaitBeforeClaim = false;
};

struct AcceptOlderTerms : AuthorityRules
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

TEST_CASE("a search of small scope finds no two dispatchers", "[authority]")
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

TEST_CASE("long random walks find no two dispatchers", "[authority]")
{
  const auto trace = Walk<AuthorityRules>(kFullScope, kWalks, kWalkSteps, 1);
  INFO(trace);
  CHECK(trace.empty());
}

TEMPLATE_TEST_CASE("without any one rule two dispatchers are found",
                   "[authority]",
                   NoUnion,
                   NoPromiseSuspension,
                   NoWait,
                   AcceptOlderTerms)
{
  auto trace = Search<TestType>(kDeepScope, kDeepDepth, kMutantStates).m_trace;
  if (trace.empty()) {
    trace = Walk<TestType>(
      kDeepScope, kMutantWalks, kMutantWalkSteps, kMutantTickShare);
  }
  CHECK_FALSE(trace.empty());
  WARN("trace: " << trace);
}
