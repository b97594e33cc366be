// From a document to the typed configuration, with all checks.
#include "object_reader.hpp"

#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <algorithm>
#include <limits>

namespace tamarack::config {

namespace {

constexpr std::int64_t LargestPrice = 1'000'000;
constexpr std::int64_t LargestTokens = 10'000'000;
constexpr std::int64_t LargestTimeoutMs = 3'600'000;
constexpr std::int64_t LargestSlots = 100'000;
constexpr std::int64_t LowestPriority = 9;
constexpr double LargestRate = 1e12;
constexpr std::size_t KeyDigestLength = 64;

limits readLimits(object_reader &Parent, const std::string &Location,
                  std::vector<config_error> &Errors) {
  limits Limits;
  const Poco::JSON::Object::Ptr Object = Parent.object("limits");
  if (Object.isNull())
    return Limits;
  object_reader Reader(Object, Location + "/limits", Errors);
  Limits.RequestsPerSecond =
      Reader.real("requests_per_second", 0, 0, LargestRate);
  Limits.TokensPerSecond = Reader.real("tokens_per_second", 0, 0, LargestRate);
  Limits.Concurrency =
      static_cast<int>(Reader.number("concurrency", 0, 0, LargestSlots));
  Reader.refuseUnknown();
  return Limits;
}

endpoint_kind readKind(object_reader &Reader) {
  const std::string Kind = Reader.text("kind", "model");
  if (Kind != "model" && Kind != "service")
    Reader.fail("kind", "must be \"model\" or \"service\"");
  return Kind == "service" ? endpoint_kind::Service : endpoint_kind::Model;
}

void readAccount(object_reader &Reader, const std::string &Location,
                 std::vector<config_error> &Errors, configuration &Result) {
  account Account;
  Account.Name = Reader.requiredText("name");
  Account.Labels = Reader.labels("labels");
  Account.KeyDigests = Reader.texts("key_sha256");
  Account.Budget = Reader.text("budget", Account.Name);
  Account.Limits = readLimits(Reader, Location, Errors);
  Account.Priority =
      static_cast<int>(Reader.number("priority", 5, 0, LowestPriority));
  for (const std::string &Digest : Account.KeyDigests) {
    const bool Hex =
        Digest.size() == KeyDigestLength &&
        Digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!Hex)
      Reader.fail("key_sha256", "must hold SHA-256 digests in lower-case hex");
    const bool Fresh =
        Result.AccountByKeyDigest.emplace(Digest, Account.Name).second;
    if (!Fresh)
      Reader.fail("key_sha256", "names a key that is already in use");
  }
  Result.Accounts[Account.Name] = std::move(Account);
}

void readModel(object_reader &Reader, configuration &Result) {
  model Model;
  Model.Name = Reader.requiredText("name");
  Model.Labels = Reader.labels("labels");
  Model.PromptPrice = Reader.number("prompt_price", 1, 0, LargestPrice);
  Model.CompletionPrice = Reader.number("completion_price", 1, 0, LargestPrice);
  Model.MaxTokens =
      static_cast<int>(Reader.number("max_tokens", 4096, 1, LargestTokens));
  Model.DefaultTokens =
      static_cast<int>(Reader.number("default_tokens", 512, 1, LargestTokens));
  if (Model.DefaultTokens > Model.MaxTokens)
    Reader.fail("default_tokens", "must not exceed max_tokens");
  Result.Models[Model.Name] = std::move(Model);
}

void readService(object_reader &Reader, configuration &Result) {
  service Service;
  Service.Name = Reader.requiredText("name");
  Service.Labels = Reader.labels("labels");
  Service.Price = Reader.number("price", 1, 0, LargestPrice);
  Service.Repeatable = Reader.flag("repeatable", true);
  Service.TimeoutMs =
      static_cast<int>(Reader.number("timeout_ms", 10000, 1, LargestTimeoutMs));
  Result.Services[Service.Name] = std::move(Service);
}

void checkUrl(object_reader &Reader, const std::string &Url) {
  try {
    const Poco::URI Uri(Url);
    const bool Scheme = Uri.getScheme() == "http" || Uri.getScheme() == "https";
    if (Scheme && !Uri.getHost().empty())
      return;
  } catch (const Poco::Exception &) { // Falls through to the error.
  }
  Reader.fail("url", "must be http://host:port or https://host:port");
}

void readEndpoint(object_reader &Reader, configuration &Result) {
  endpoint Endpoint;
  Endpoint.Name = Reader.requiredText("name");
  Endpoint.Url = Reader.requiredText("url");
  Endpoint.Zone = Reader.requiredText("zone");
  Endpoint.Kind = readKind(Reader);
  Endpoint.Labels = Reader.labels("labels");
  Endpoint.Slots =
      static_cast<int>(Reader.number("slots", 16, 1, LargestSlots));
  Endpoint.Draining = Reader.flag("draining", false);
  Endpoint.Fencing = Reader.flag("fencing", false);
  if (!Endpoint.Url.empty())
    checkUrl(Reader, Endpoint.Url);
  Endpoint.Labels["zone"] = Endpoint.Zone;
  Endpoint.Labels["kind"] =
      Endpoint.Kind == endpoint_kind::Model ? "model" : "service";
  Result.Endpoints[Endpoint.Name] = std::move(Endpoint);
}

void readPool(object_reader &Reader, configuration &Result) {
  pool Pool;
  Pool.Name = Reader.requiredText("name");
  Pool.Kind = readKind(Reader);
  Pool.Endpoints = Reader.selectorOf("selector");
  Result.Pools[Pool.Name] = std::move(Pool);
}

void readRule(object_reader &Reader, configuration &Result) {
  rule Rule;
  Rule.Name = Reader.requiredText("name");
  Rule.Order = static_cast<int>(Reader.number("order", 100, 0, 1'000'000));
  Rule.Target = Reader.text("target", "*");
  Rule.Account = Reader.selectorOf("account");
  Rule.Request = Reader.selectorOf("request");
  Rule.Pool = Reader.requiredText("pool");
  const bool Known = Rule.Target == "*" ||
                     Result.Models.contains(Rule.Target) ||
                     Result.Services.contains(Rule.Target);
  if (!Known)
    Reader.fail("target", "names no model or service");
  if (!Result.Pools.contains(Rule.Pool))
    Reader.fail("pool", "names no pool");
  Result.Rules.push_back(std::move(Rule));
}

void readTarget(object_reader &Reader, configuration &Result) {
  latency_target Target;
  Target.Name = Reader.requiredText("name");
  Target.Subject = Reader.text("subject", "*");
  Target.FirstTokenMs = static_cast<int>(
      Reader.number("first_token_ms", 1800, 1, LargestTimeoutMs));
  Target.GapMs =
      static_cast<int>(Reader.number("gap_ms", 59, 1, LargestTimeoutMs));
  Target.Objective = Reader.real("objective", 0.95, 0.5, 0.99999);
  Result.LatencyTargets.push_back(std::move(Target));
}

void readObject(const std::string &Kind, object_reader &Reader,
                const std::string &Location, std::vector<config_error> &Errors,
                configuration &Result) {
  if (Kind == "accounts")
    readAccount(Reader, Location, Errors, Result);
  else if (Kind == "models")
    readModel(Reader, Result);
  else if (Kind == "services")
    readService(Reader, Result);
  else if (Kind == "endpoints")
    readEndpoint(Reader, Result);
  else if (Kind == "pools")
    readPool(Reader, Result);
  else if (Kind == "rules")
    readRule(Reader, Result);
  else
    readTarget(Reader, Result);
  Reader.refuseUnknown();
}

// Selects once what every request would have to select again.
void collectMembers(configuration &Result) {
  for (const auto &[Name, Pool] : Result.Pools) {
    pool_members &Members = Result.MembersByPool[Name];
    for (const auto &[EndpointName, Endpoint] : Result.Endpoints) {
      const bool Member =
          Endpoint.Kind == Pool.Kind && Pool.Endpoints.matches(Endpoint.Labels);
      if (!Member)
        continue;
      Members.All.push_back(&Endpoint);
      Members.ByZone[Endpoint.Zone].push_back(&Endpoint);
    }
  }
}

// Kinds in the order in which later ones may refer to earlier ones.
constexpr std::string_view KindOrder[] = {
    "accounts", "models", "services", "endpoints", "pools", "rules", "targets"};

} // namespace

std::shared_ptr<const configuration>
buildConfiguration(const document &Document, std::uint64_t Version,
                   std::vector<config_error> &Errors) {
  const std::size_t Before = Errors.size();
  std::shared_ptr<configuration> Result = std::make_shared<configuration>();
  Result->Version = Version;
  Result->Digest = Document.digest();
  for (std::string_view KindView : KindOrder) {
    const std::string Kind(KindView);
    auto Objects = Document.ObjectsByKind.find(Kind);
    if (Objects == Document.ObjectsByKind.end())
      continue;
    for (const auto &[Name, Json] : Objects->second) {
      const std::string Location = "/" + Kind + "/" + Name;
      Poco::JSON::Parser Parser;
      const Poco::JSON::Object::Ptr Object =
          Parser.parse(Json).extract<Poco::JSON::Object::Ptr>();
      object_reader Reader(Object, Location, Errors);
      if (Reader.text("name", "") != Name)
        Reader.fail("name", "must be \"" + Name + "\"");
      readObject(Kind, Reader, Location, Errors, *Result);
    }
  }
  std::stable_sort(
      Result->Rules.begin(), Result->Rules.end(),
      [](const rule &A, const rule &B) { return A.Order < B.Order; });
  if (Errors.size() != Before)
    return nullptr;
  collectMembers(*Result);
  return Result;
}

} // namespace tamarack::config
