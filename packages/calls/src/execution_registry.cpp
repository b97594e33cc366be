// Registry of the executions of not-repeatable requests.
#include "tamarack/calls.hpp"

namespace tamarack::calls {

namespace {
constexpr std::size_t MaxStoredBodyBytes = 64 * 1024; // Of one response.
constexpr time_ms KeyWindowMs = ledger::KeyWindowMs;
} // namespace

execution_registry::execution_registry(std::size_t MaxResponseBytes)
    : MaxResponseBytes(MaxResponseBytes) {}

// A key expires one window after it was minted, but stays registered for two.
// So no key can be started a second time after it was removed.
begin_result execution_registry::begin(const ledger::request_key &Key,
                                       time_ms MintedAt, time_ms Now) {
  removeExpired(Now);
  auto Found = Executions.find(Key);
  if (Found != Executions.end())
    return {Found->second.State, Found->second.Response};
  if (Now - MintedAt > KeyWindowMs)
    return {execution_state::KeyExpired, std::nullopt};
  Executions.emplace(
      Key, execution{execution_state::Running, MintedAt, std::nullopt});
  KeysByStart.push_back(Key);
  return {execution_state::New, std::nullopt};
}

void execution_registry::cancelStart(const ledger::request_key &Key) {
  Executions.erase(Key);
  std::erase(KeysByStart, Key);
}

void execution_registry::finish(const ledger::request_key &Key,
                                stored_response Response) {
  auto Found = Executions.find(Key);
  if (Found == Executions.end())
    return;
  Found->second.State = execution_state::Finished;
  if (Response.Body.size() > MaxStoredBodyBytes)
    return;
  ResponseBytes += Response.Body.size();
  Found->second.Response = std::move(Response);
  KeysByResponse.push_back(Key);
  evictResponses();
}

void execution_registry::finishWithUnknownOutcome(
    const ledger::request_key &Key) {
  auto Found = Executions.find(Key);
  if (Found != Executions.end())
    Found->second.State = execution_state::OutcomeUnknown;
}

void execution_registry::removeExpired(time_ms Now) {
  while (!KeysByStart.empty()) {
    auto Found = Executions.find(KeysByStart.front());
    if (Found == Executions.end()) {
      KeysByStart.pop_front();
      continue;
    }
    if (Now - Found->second.KeyMintedAt <= 2 * KeyWindowMs)
      return;
    if (Found->second.Response)
      ResponseBytes -= Found->second.Response->Body.size();
    Executions.erase(Found);
    KeysByStart.pop_front();
  }
}

void execution_registry::evictResponses() {
  while (ResponseBytes > MaxResponseBytes && !KeysByResponse.empty()) {
    auto Found = Executions.find(KeysByResponse.front());
    KeysByResponse.pop_front();
    if (Found == Executions.end() || !Found->second.Response)
      continue;
    ResponseBytes -= Found->second.Response->Body.size();
    Found->second.Response.reset();
  }
}

} // namespace tamarack::calls
