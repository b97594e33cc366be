// Builds the typed configuration of a document and validates the document.
#include "object_reader.hpp"

#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <algorithm>
#include <limits>

namespace tamarack::config {

namespace {

constexpr std::int64_t MaxPrice = 1'000'000; // Prepaid tokens.
constexpr std::int64_t MaxCompletionTokens = 10'000'000;
constexpr std::int64_t MaxDurationMs = 3'600'000;
constexpr std::int64_t MaxConcurrency = 100'000; // Requests.
constexpr std::int64_t MaxPriority = 9;          // Served last.
constexpr double MaxRatePerSecond = 1e12;
constexpr std::size_t KeyDigestLength = 64; // Hex digits of SHA-256.

limits readLimits(object_reader &AccountReader, const std::string &Location,
                  std::vector<config_error> &Errors) {
  limits Limits;
  const Poco::JSON::Object::Ptr Object = AccountReader.readObject("limits");
  if (Object.isNull())
    return Limits;
  object_reader Reader(Object, Location + "/limits", Errors);
  Limits.RequestsPerSecond =
      Reader.readNumber("requests_per_second", 0, 0, MaxRatePerSecond);
  Limits.TokensPerSecond =
      Reader.readNumber("tokens_per_second", 0, 0, MaxRatePerSecond);
  Limits.Concurrency =
      static_cast<int>(Reader.readInteger("concurrency", 0, 0, MaxConcurrency));
  Reader.rejectUnknownFields();
  return Limits;
}

endpoint_kind readEndpointKind(object_reader &Reader) {
  const std::string Kind = Reader.readString("kind", "model");
  if (Kind != "model" && Kind != "service")
    Reader.addError("kind", "must be \"model\" or \"service\"");
  return Kind == "service" ? endpoint_kind::Service : endpoint_kind::Model;
}

void readAccount(object_reader &Reader, const std::string &Location,
                 std::vector<config_error> &Errors, configuration &Result) {
  account Account;
  Account.Name = Reader.readRequiredString("name");
  Account.Labels = Reader.readLabels("labels");
  Account.KeyDigests = Reader.readStrings("key_sha256");
  Account.Budget = Reader.readString("budget", Account.Name);
  Account.Limits = readLimits(Reader, Location, Errors);
  Account.Priority =
      static_cast<int>(Reader.readInteger("priority", 5, 0, MaxPriority));
  for (const std::string &Digest : Account.KeyDigests) {
    const bool IsDigest =
        Digest.size() == KeyDigestLength &&
        Digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!IsDigest)
      Reader.addError("key_sha256",
                      "must contain SHA-256 digests in lower-case hex");
    // Often of a variable that was not set; every caller could use it.
    if (Digest == digestOfKey(""))
      Reader.addError("key_sha256", "contains the digest of an empty key");
    const bool IsNewKey =
        Result.AccountByKeyDigest.emplace(Digest, Account.Name).second;
    if (!IsNewKey)
      Reader.addError("key_sha256",
                      "contains the digest of a key that is already in use");
  }
  Result.Accounts[Account.Name] = std::move(Account);
}

void readModel(object_reader &Reader, configuration &Result) {
  model Model;
  Model.Name = Reader.readRequiredString("name");
  Model.Labels = Reader.readLabels("labels");
  Model.PromptPrice = Reader.readInteger("prompt_price", 1, 0, MaxPrice);
  Model.CompletionPrice =
      Reader.readInteger("completion_price", 1, 0, MaxPrice);
  Model.MaxTokens = static_cast<int>(
      Reader.readInteger("max_tokens", 4096, 1, MaxCompletionTokens));
  Model.DefaultTokens = static_cast<int>(
      Reader.readInteger("default_tokens", 512, 1, MaxCompletionTokens));
  if (Model.DefaultTokens > Model.MaxTokens)
    Reader.addError("default_tokens", "must not exceed max_tokens");
  Result.Models[Model.Name] = std::move(Model);
}

void readService(object_reader &Reader, configuration &Result) {
  service Service;
  Service.Name = Reader.readRequiredString("name");
  Service.Labels = Reader.readLabels("labels");
  Service.Price = Reader.readInteger("price", 1, 0, MaxPrice);
  Service.Repeatable = Reader.readBoolean("repeatable", true);
  Service.TimeoutMs = static_cast<int>(
      Reader.readInteger("timeout_ms", 10000, 1, MaxDurationMs));
  Result.Services[Service.Name] = std::move(Service);
}

void checkUrl(object_reader &Reader, const std::string &Url) {
  try {
    const Poco::URI Uri(Url);
    const bool HasHttpScheme =
        Uri.getScheme() == "http" || Uri.getScheme() == "https";
    if (HasHttpScheme && !Uri.getHost().empty())
      return;
  } catch (const Poco::Exception &) { // Reported below.
  }
  Reader.addError("url", "must be http://host:port or https://host:port");
}

void readEndpoint(object_reader &Reader, configuration &Result) {
  endpoint Endpoint;
  Endpoint.Name = Reader.readRequiredString("name");
  Endpoint.Url = Reader.readRequiredString("url");
  Endpoint.Zone = Reader.readRequiredString("zone");
  Endpoint.Kind = readEndpointKind(Reader);
  Endpoint.Labels = Reader.readLabels("labels");
  Endpoint.Slots =
      static_cast<int>(Reader.readInteger("slots", 16, 1, MaxConcurrency));
  Endpoint.Draining = Reader.readBoolean("draining", false);
  Endpoint.Fencing = Reader.readBoolean("fencing", false);
  if (!Endpoint.Url.empty())
    checkUrl(Reader, Endpoint.Url);
  Endpoint.Labels["zone"] = Endpoint.Zone;
  Endpoint.Labels["kind"] =
      Endpoint.Kind == endpoint_kind::Model ? "model" : "service";
  Result.Endpoints[Endpoint.Name] = std::move(Endpoint);
}

void readPool(object_reader &Reader, configuration &Result) {
  pool Pool;
  Pool.Name = Reader.readRequiredString("name");
  Pool.Kind = readEndpointKind(Reader);
  Pool.Endpoints = Reader.readSelector("selector");
  Result.Pools[Pool.Name] = std::move(Pool);
}

void readRule(object_reader &Reader, configuration &Result) {
  rule Rule;
  Rule.Name = Reader.readRequiredString("name");
  Rule.Order = static_cast<int>(Reader.readInteger("order", 100, 0, 1'000'000));
  Rule.Target = Reader.readString("target", "*");
  Rule.Account = Reader.readSelector("account");
  Rule.Request = Reader.readSelector("request");
  Rule.Pool = Reader.readRequiredString("pool");
  const bool TargetExists = Rule.Target == "*" ||
                            Result.Models.contains(Rule.Target) ||
                            Result.Services.contains(Rule.Target);
  if (!TargetExists)
    Reader.addError("target", "is not the name of a model or service");
  if (!Result.Pools.contains(Rule.Pool))
    Reader.addError("pool", "is not the name of a pool");
  Result.Rules.push_back(std::move(Rule));
}

void readLatencyTarget(object_reader &Reader, configuration &Result) {
  latency_target Target;
  Target.Name = Reader.readRequiredString("name");
  Target.Subject = Reader.readString("subject", "*");
  Target.FirstTokenMs = static_cast<int>(
      Reader.readInteger("first_token_ms", 1800, 1, MaxDurationMs));
  Target.GapMs =
      static_cast<int>(Reader.readInteger("gap_ms", 59, 1, MaxDurationMs));
  Target.Objective = Reader.readNumber("objective", 0.95, 0.5, 0.99999);
  Result.LatencyTargets.push_back(std::move(Target));
}

void readObjectOfKind(const std::string &Kind, object_reader &Reader,
                      const std::string &Location,
                      std::vector<config_error> &Errors,
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
    readLatencyTarget(Reader, Result);
  Reader.rejectUnknownFields();
}

// Evaluates the selectors of the pools once, so that requests need no
// evaluation.
void collectPoolMembers(configuration &Result) {
  for (const auto &[Name, Pool] : Result.Pools) {
    pool_members &Members = Result.MembersByPool[Name];
    for (const auto &[EndpointName, Endpoint] : Result.Endpoints) {
      const bool IsMember =
          Endpoint.Kind == Pool.Kind && Pool.Endpoints.matches(Endpoint.Labels);
      if (!IsMember)
        continue;
      Members.All.push_back(&Endpoint);
      Members.ByZone[Endpoint.Zone].push_back(&Endpoint);
    }
  }
}

// Kinds in reading order: an object may only refer to objects of kinds that
// have been read before.
constexpr std::string_view KindsInReadingOrder[] = {
    "accounts", "models", "services", "endpoints", "pools", "rules", "targets"};

} // namespace

std::shared_ptr<const configuration>
buildConfiguration(const document &Document, std::uint64_t Version,
                   std::vector<config_error> &Errors) {
  const std::size_t ErrorsBefore = Errors.size();
  std::shared_ptr<configuration> Result = std::make_shared<configuration>();
  Result->Version = Version;
  Result->Digest = Document.digest();
  for (std::string_view KindView : KindsInReadingOrder) {
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
      if (Reader.readString("name", "") != Name)
        Reader.addError("name", "must be \"" + Name + "\"");
      readObjectOfKind(Kind, Reader, Location, Errors, *Result);
    }
  }
  std::stable_sort(
      Result->Rules.begin(), Result->Rules.end(),
      [](const rule &A, const rule &B) { return A.Order < B.Order; });
  if (Errors.size() != ErrorsBefore)
    return nullptr;
  collectPoolMembers(*Result);
  return Result;
}

} // namespace tamarack::config
