// Lookups in one accepted configuration.
#include "tamarack/relay.hpp"

#include <algorithm>

namespace tamarack::relay {

std::string_view toString(call_kind Kind) {
  switch (Kind) {
  case call_kind::Idempotent:
    return "idempotent";
  case call_kind::NotRepeatable:
    return "not_repeatable";
  case call_kind::Stream:
    return "stream";
  case call_kind::ResumableStream:
    return "resumable_stream";
  }
  return "";
}

bool isStream(call_kind Kind) {
  return Kind == call_kind::Stream || Kind == call_kind::ResumableStream;
}

bool isRepeatable(call_kind Kind) {
  return Kind == call_kind::Idempotent || Kind == call_kind::ResumableStream;
}

std::string_view toString(origin_state State) {
  switch (State) {
  case origin_state::Known:
    return "known";
  case origin_state::Pending:
    return "pending";
  case origin_state::Unknown:
    return "unknown";
  case origin_state::Ambiguous:
    return "ambiguous";
  }
  return "";
}

std::string_view toString(attempt_outcome Outcome) {
  switch (Outcome) {
  case attempt_outcome::Good:
    return "good";
  case attempt_outcome::Unproven:
    return "unproven";
  case attempt_outcome::Failed:
    return "failed";
  case attempt_outcome::Broken:
    return "broken";
  case attempt_outcome::Unreached:
    return "unreached";
  case attempt_outcome::Refused:
    return "refused";
  case attempt_outcome::Misplaced:
    return "misplaced";
  case attempt_outcome::Withdrawn:
    return "withdrawn";
  case attempt_outcome::Cancelled:
    return "cancelled";
  }
  return "";
}

bool allowed_regions::contains(std::string_view Region) const {
  return !IsBound ||
         std::find(Names.begin(), Names.end(), Region) != Names.end();
}

allowed_regions intersect(const allowed_regions &A, const allowed_regions &B) {
  if (!A.IsBound)
    return B;
  allowed_regions Both;
  Both.IsBound = true;
  for (const std::string &Name : A.Names)
    if (B.contains(Name))
      Both.Names.push_back(Name);
  return Both;
}

void route_table::add(route Route) {
  std::string Prefix = Route.PathPrefix;
  host_routes &HostRoutes = RoutesByHost[Route.Host];
  std::map<std::string, route, std::less<>> &SameLength =
      HostRoutes[Prefix.size()];
  SameLength.emplace(std::move(Prefix), std::move(Route));
}

void route_table::add(service Service) {
  std::string Name = Service.Name;
  Services.insert_or_assign(std::move(Name), std::move(Service));
}

void route_table::add(account Account, std::span<const std::string> Keys) {
  // A request without a key has an empty one.
  for (const std::string &Key : Keys)
    if (!Key.empty())
      AccountNameByKey[Key] = Account.Name;
  std::string Name = Account.Name;
  Accounts.insert_or_assign(std::move(Name), std::move(Account));
}

const route *route_table::findRoute(std::string_view Host,
                                    std::string_view Path) const {
  const auto Found = RoutesByHost.find(Host);
  if (Found == RoutesByHost.end())
    return nullptr;
  const host_routes &HostRoutes = Found->second;
  // Starts at the first length that is not greater than that of Path.
  for (auto Length = HostRoutes.lower_bound(Path.size());
       Length != HostRoutes.end(); ++Length) {
    const auto Route = Length->second.find(Path.substr(0, Length->first));
    if (Route != Length->second.end())
      return &Route->second;
  }
  return nullptr;
}

const service *route_table::findService(std::string_view Name) const {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : &Found->second;
}

const account *route_table::findAccount(std::string_view Name) const {
  const auto Found = Accounts.find(Name);
  return Found == Accounts.end() ? nullptr : &Found->second;
}

const account *route_table::findAccountByKey(std::string_view Key) const {
  const auto Found = AccountNameByKey.find(Key);
  return Found == AccountNameByKey.end() ? nullptr : findAccount(Found->second);
}

} // namespace tamarack::relay
