// Label matching, key digests and lookups in a configuration.
#include "tamarack/config.hpp"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>

namespace tamarack::config {

namespace {

bool isSatisfied(const requirement &Requirement, const label_set &Labels) {
  auto Found = Labels.find(Requirement.Label);
  const bool Present = Found != Labels.end();
  if (Requirement.MustExist)
    return Present;
  if (Requirement.MustBeAbsent)
    return !Present;
  const bool Listed =
      Present && std::find(Requirement.Values.begin(), Requirement.Values.end(),
                           Found->second) != Requirement.Values.end();
  return Requirement.Negated ? !Listed : Listed;
}

} // namespace

bool selector::matches(const label_set &Labels) const {
  return std::all_of(Requirements.begin(), Requirements.end(),
                     [&Labels](const requirement &Requirement) {
                       return isSatisfied(Requirement, Labels);
                     });
}

std::string digestOfKey(std::string_view Key) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Key.data(), Key.size());
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

const account *configuration::findAccount(std::string_view KeyDigest) const {
  auto Name = AccountByKeyDigest.find(KeyDigest);
  if (Name == AccountByKeyDigest.end())
    return nullptr;
  return &Accounts.find(Name->second)->second;
}

const rule *configuration::findRule(std::string_view Target,
                                    const label_set &Account,
                                    const label_set &Request) const {
  for (const rule &Rule : Rules) {
    const bool TargetMatches = Rule.Target == "*" || Rule.Target == Target;
    if (TargetMatches && Rule.Account.matches(Account) &&
        Rule.Request.matches(Request))
      return &Rule;
  }
  return nullptr;
}

std::span<const endpoint *const>
configuration::members(std::string_view Pool) const {
  auto Found = MembersByPool.find(Pool);
  if (Found == MembersByPool.end())
    return {};
  return Found->second.All;
}

std::span<const endpoint *const>
configuration::membersInZone(std::string_view Pool,
                             std::string_view Zone) const {
  auto Found = MembersByPool.find(Pool);
  if (Found == MembersByPool.end())
    return {};
  auto InZone = Found->second.ByZone.find(Zone);
  if (InZone == Found->second.ByZone.end())
    return {};
  return InZone->second;
}

const latency_target *
configuration::findLatencyTarget(std::string_view Subject) const {
  const latency_target *Wildcard = nullptr;
  for (const latency_target &Target : LatencyTargets) {
    if (Target.Subject == Subject)
      return &Target;
    if (Target.Subject == "*")
      Wildcard = &Target;
  }
  return Wildcard;
}

} // namespace tamarack::config
