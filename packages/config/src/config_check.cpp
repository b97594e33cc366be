// Finds what has no effect in a valid configuration, or contradicts itself.
#include "tamarack/config.hpp"

#include <algorithm>
#include <set>

namespace tamarack::config {

namespace {

bool contains(const std::vector<std::string> &Values,
              const std::string &Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

bool containsAll(const std::vector<std::string> &Values,
                 const std::vector<std::string> &Others) {
  return std::all_of(
      Others.begin(), Others.end(),
      [&Values](const std::string &Other) { return contains(Values, Other); });
}

bool containsNone(const std::vector<std::string> &Values,
                  const std::vector<std::string> &Others) {
  return std::none_of(
      Others.begin(), Others.end(),
      [&Values](const std::string &Other) { return contains(Values, Other); });
}

// True if each label set that satisfies A certainly satisfies B.
bool implies(const requirement &A, const requirement &B) {
  if (A.Label != B.Label)
    return false;
  const bool HasListA = !A.MustExist && !A.MustBeAbsent;
  const bool IsPresentA = A.MustExist || (HasListA && !A.Negated);
  if (B.MustExist)
    return IsPresentA;
  if (B.MustBeAbsent)
    return A.MustBeAbsent;
  if (A.MustBeAbsent)
    return B.Negated;
  if (A.MustExist)
    return false;
  if (A.Negated)
    return B.Negated && containsAll(A.Values, B.Values);
  return B.Negated ? containsNone(A.Values, B.Values)
                   : containsAll(B.Values, A.Values);
}

// True if each label set that Narrow matches is certainly matched by Wide.
// False if that needs several requirements of Narrow together.
bool covers(const selector &Wide, const selector &Narrow) {
  return std::all_of(Wide.Requirements.begin(), Wide.Requirements.end(),
                     [&Narrow](const requirement &Needed) {
                       return std::any_of(Narrow.Requirements.begin(),
                                          Narrow.Requirements.end(),
                                          [&Needed](const requirement &Given) {
                                            return implies(Given, Needed);
                                          });
                     });
}

bool covers(const rule &Wide, const rule &Narrow) {
  const bool IsTargetCovered =
      Wide.Target == "*" || Wide.Target == Narrow.Target;
  return IsTargetCovered && covers(Wide.Account, Narrow.Account) &&
         covers(Wide.Request, Narrow.Request);
}

// A label that a selector needs and no object has, empty if there is none.
std::string missingLabel(const selector &Selector,
                         const std::set<std::string> &Labels) {
  for (const requirement &Requirement : Selector.Requirements) {
    const bool IsNeeded = !Requirement.Negated && !Requirement.MustBeAbsent;
    if (IsNeeded && !Labels.contains(Requirement.Label))
      return Requirement.Label;
  }
  return "";
}

// Collects the warnings about one configuration.
class config_check {
public:
  explicit config_check(const configuration &Configuration)
      : Configuration(Configuration) {}

  std::vector<config_warning> run() {
    checkAccounts();
    checkModels();
    checkServices();
    checkEndpoints();
    checkPools();
    checkRules();
    checkTargets();
    return std::move(Warnings);
  }

private:
  void add(const std::string &Kind, const std::string &Name,
           const std::string &Field, std::string Message) {
    std::string Location = "/" + Kind + "/" + Name;
    if (!Field.empty())
      Location += "/" + Field;
    Warnings.push_back({std::move(Location), std::move(Message)});
  }

  bool isAdmitted(const label_set &Account) const {
    return std::any_of(
        Configuration.Rules.begin(), Configuration.Rules.end(),
        [&Account](const rule &Rule) { return Rule.Account.matches(Account); });
  }

  void checkAccounts() {
    for (const auto &[Name, Account] : Configuration.Accounts) {
      if (Account.KeyDigests.empty())
        add("accounts", Name, "key_sha256", "is missing, so nobody can use it");
      if (!isAdmitted(Account.Labels))
        add("accounts", Name, "", "is matched by no rule");
    }
  }

  bool isTarget(const std::string &Name) const {
    return std::any_of(Configuration.Rules.begin(), Configuration.Rules.end(),
                       [&Name](const rule &Rule) {
                         return Rule.Target == "*" || Rule.Target == Name;
                       });
  }

  void checkModels() {
    for (const auto &[Name, Model] : Configuration.Models)
      if (!isTarget(Name))
        add("models", Name, "", "is the target of no rule");
  }

  void checkServices() {
    for (const auto &[Name, Service] : Configuration.Services) {
      if (!isTarget(Name))
        add("services", Name, "", "is the target of no rule");
      checkTimeout(Service);
    }
  }

  void checkEndpoints() {
    std::set<const endpoint *> Members;
    for (const auto &[Name, Pool] : Configuration.MembersByPool)
      Members.insert(Pool.All.begin(), Pool.All.end());
    for (const auto &[Name, Endpoint] : Configuration.Endpoints)
      if (!Members.contains(&Endpoint))
        add("endpoints", Name, "", "belongs to no pool");
  }

  bool isUsed(const std::string &Pool) const {
    return std::any_of(Configuration.Rules.begin(), Configuration.Rules.end(),
                       [&Pool](const rule &Rule) { return Rule.Pool == Pool; });
  }

  void checkPools() {
    std::set<std::string> Labels;
    for (const auto &[Name, Endpoint] : Configuration.Endpoints)
      for (const auto &[Label, Value] : Endpoint.Labels)
        Labels.insert(Label);
    for (const auto &[Name, Pool] : Configuration.Pools) {
      checkMembers(Pool, Labels);
      if (!isUsed(Name))
        add("pools", Name, "", "is the pool of no rule");
    }
  }

  void checkMembers(const pool &Pool, const std::set<std::string> &Labels) {
    const std::span<const endpoint *const> Members =
        Configuration.members(Pool.Name);
    const std::string Missing = missingLabel(Pool.Endpoints, Labels);
    if (!Missing.empty())
      return add("pools", Pool.Name, "selector",
                 "needs the label \"" + Missing + "\", which no endpoint has");
    if (Members.empty())
      return add("pools", Pool.Name, "selector", "matches no endpoint");
    const bool IsDraining =
        std::all_of(Members.begin(), Members.end(),
                    [](const endpoint *Member) { return Member->Draining; });
    if (IsDraining)
      add("pools", Pool.Name, "", "has only endpoints that are draining");
  }

  void checkRules() {
    std::set<std::string> Labels;
    for (const auto &[Name, Account] : Configuration.Accounts)
      for (const auto &[Label, Value] : Account.Labels)
        Labels.insert(Label);
    for (std::size_t I = 0; I < Configuration.Rules.size(); ++I) {
      checkAccountsOf(Configuration.Rules[I], Labels);
      checkKindOf(Configuration.Rules[I]);
      checkOrderOf(I);
    }
  }

  void checkAccountsOf(const rule &Rule, const std::set<std::string> &Labels) {
    if (Rule.Account.Requirements.empty())
      return;
    const std::string Missing = missingLabel(Rule.Account, Labels);
    if (!Missing.empty())
      return add("rules", Rule.Name, "account",
                 "needs the label \"" + Missing + "\", which no account has");
    const bool Matches =
        std::any_of(Configuration.Accounts.begin(),
                    Configuration.Accounts.end(), [&Rule](const auto &Item) {
                      return Rule.Account.matches(Item.second.Labels);
                    });
    if (!Matches)
      add("rules", Rule.Name, "account", "matches no account");
  }

  void checkKindOf(const rule &Rule) {
    if (Rule.Target == "*")
      return;
    const pool &Pool = Configuration.Pools.find(Rule.Pool)->second;
    const bool IsPoolOfModels = Pool.Kind == endpoint_kind::Model;
    const bool IsRightKind = IsPoolOfModels
                                 ? Configuration.Models.contains(Rule.Target)
                                 : Configuration.Services.contains(Rule.Target);
    if (!IsRightKind)
      add("rules", Rule.Name, "pool",
          "has endpoints of another kind than the target");
  }

  void checkOrderOf(std::size_t Index) {
    const rule &Rule = Configuration.Rules[Index];
    for (std::size_t I = 0; I < Index; ++I)
      if (covers(Configuration.Rules[I], Rule))
        return add("rules", Rule.Name, "",
                   "never applies: rule \"" + Configuration.Rules[I].Name +
                       "\" comes before it and matches all that it matches");
  }

  void checkTargets() {
    std::set<std::string> Subjects;
    for (const latency_target &Target : Configuration.LatencyTargets) {
      const bool IsKnown = Target.Subject == "*" ||
                           Configuration.Models.contains(Target.Subject) ||
                           Configuration.Services.contains(Target.Subject);
      if (!IsKnown)
        add("targets", Target.Name, "subject",
            "is not the name of a model or service");
      if (!Subjects.insert(Target.Subject).second)
        add("targets", Target.Name, "subject",
            "is that of another target too; only one of them counts");
    }
  }

  void checkTimeout(const service &Service) {
    const latency_target *Target =
        Configuration.findLatencyTarget(Service.Name);
    if (Target != nullptr && Target->FirstTokenMs > Service.TimeoutMs)
      add("services", Service.Name, "timeout_ms",
          "is below first_token_ms of target \"" + Target->Name +
              "\": a request that may still meet it is given up");
  }

  const configuration &Configuration;
  std::vector<config_warning> Warnings;
};

} // namespace

std::vector<config_warning> findWarnings(const configuration &Configuration) {
  return config_check(Configuration).run();
}

} // namespace tamarack::config
