// The JSON form of a document: parsing, writing, digests, plans.
#include "tamarack/config.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>

namespace tamarack::config {

namespace {

constexpr int FormatVersion = 1;
constexpr int LargestDepth = 16;
constexpr std::string_view FormatField = "tamarackhall";
const std::set<std::string, std::less<>> KnownKinds = {
    "accounts", "models", "services", "endpoints", "pools", "rules", "targets"};

// Poco's objects keep their keys sorted unless told otherwise.
std::string canonical(const Poco::JSON::Object::Ptr &Object) {
  std::ostringstream Out;
  Object->stringify(Out);
  return Out.str();
}

void readKind(const std::string &Kind, const Poco::JSON::Array::Ptr &Items,
              read_result &Result) {
  document::object_map &Objects = Result.Document.ObjectsByKind[Kind];
  for (std::size_t Index = 0; Index < Items->size(); ++Index) {
    const std::string Location = "/" + Kind + "/" + std::to_string(Index);
    const unsigned At = static_cast<unsigned>(Index);
    if (!Items->isObject(At)) {
      Result.Errors.push_back({Location, "must be an object"});
      continue;
    }
    const Poco::JSON::Object::Ptr Object = Items->getObject(At);
    const Poco::Dynamic::Var Name = Object->get("name");
    if (!Name.isString() || Name.extract<std::string>().empty()) {
      Result.Errors.push_back({Location + "/name", "is required"});
      continue;
    }
    const bool Fresh =
        Objects.emplace(Name.extract<std::string>(), canonical(Object)).second;
    if (!Fresh)
      Result.Errors.push_back(
          {Location + "/name",
           "\"" + Name.extract<std::string>() + "\" is already taken"});
  }
}

void readTop(const Poco::JSON::Object::Ptr &Top, read_result &Result) {
  const Poco::Dynamic::Var Format = Top->get(std::string(FormatField));
  if (!Format.isInteger() || Format.convert<int>() != FormatVersion)
    Result.Errors.push_back(
        {"/tamarackhall", "must be 1, the version of this format"});
  for (const std::string &Field : Top->getNames()) {
    if (Field == FormatField)
      continue;
    if (!KnownKinds.contains(Field))
      Result.Errors.push_back({"/" + Field, "is not a known kind of object"});
    else if (!Top->isArray(Field))
      Result.Errors.push_back({"/" + Field, "must be an array"});
    else
      readKind(Field, Top->getArray(Field), Result);
  }
}

std::string placeOfSyntaxError(std::string_view Json,
                               const Poco::Exception &Error) {
  const std::string &Text = Error.message();
  const std::size_t Offset = Text.find("offset");
  if (Offset != std::string::npos) {
    const std::size_t Digits = Text.find_first_of("0123456789", Offset);
    if (Digits != std::string::npos) {
      const std::size_t At =
          std::min<std::size_t>(std::stoul(Text.substr(Digits)), Json.size());
      const std::size_t Line = 1 + static_cast<std::size_t>(std::count(
                                       Json.begin(), Json.begin() + At, '\n'));
      return "line " + std::to_string(Line);
    }
  }
  return "/";
}

std::string_view verb(change_kind Kind) {
  switch (Kind) {
  case change_kind::Add:
    return "adds";
  case change_kind::Replace:
    return "replaces";
  case change_kind::Remove:
    return "removes";
  }
  return "";
}

void diffKind(const std::string &Kind, const document::object_map &Old,
              const document::object_map &New,
              std::vector<object_change> &Changes) {
  for (const auto &[Name, Json] : New) {
    auto Before = Old.find(Name);
    if (Before == Old.end())
      Changes.push_back({change_kind::Add, Kind, Name, Json});
    else if (Before->second != Json)
      Changes.push_back({change_kind::Replace, Kind, Name, Json});
  }
  for (const auto &[Name, Json] : Old)
    if (!New.contains(Name))
      Changes.push_back({change_kind::Remove, Kind, Name, ""});
}

// Fields of one object that differ, as "field: old -> new".
void describeFields(const std::string &Old, const std::string &New,
                    std::vector<std::string> &Effects) {
  Poco::JSON::Parser OldParser;
  Poco::JSON::Parser NewParser;
  const Poco::JSON::Object::Ptr Before =
      OldParser.parse(Old).extract<Poco::JSON::Object::Ptr>();
  const Poco::JSON::Object::Ptr After =
      NewParser.parse(New).extract<Poco::JSON::Object::Ptr>();
  std::set<std::string> Fields;
  for (const std::string &Name : Before->getNames())
    Fields.insert(Name);
  for (const std::string &Name : After->getNames())
    Fields.insert(Name);
  for (const std::string &Field : Fields) {
    std::ostringstream Was;
    std::ostringstream Is;
    Poco::JSON::Stringifier::stringify(Before->get(Field), Was);
    Poco::JSON::Stringifier::stringify(After->get(Field), Is);
    if (Was.str() != Is.str())
      Effects.push_back("  " + Field + ": " + Was.str() + " -> " + Is.str());
  }
}

std::set<std::string> memberNames(const configuration &Configuration,
                                  const std::string &Pool) {
  std::set<std::string> Names;
  for (const endpoint *Endpoint : Configuration.members(Pool))
    if (!Endpoint->Draining)
      Names.insert(Endpoint->Name);
  return Names;
}

// Endpoints that enter or leave a pool, drains included.
void describePools(const configuration &Old, const configuration &New,
                   std::vector<std::string> &Effects) {
  for (const auto &[Name, Pool] : New.Pools) {
    const std::set<std::string> Before = memberNames(Old, Name);
    const std::set<std::string> After = memberNames(New, Name);
    for (const std::string &Member : After)
      if (!Before.contains(Member))
        Effects.push_back("pool " + Name + " gains endpoint " + Member);
    for (const std::string &Member : Before)
      if (!After.contains(Member))
        Effects.push_back("pool " + Name + " loses endpoint " + Member);
    if (After.empty())
      Effects.push_back("pool " + Name + " has no endpoint that takes work");
  }
}

} // namespace

std::string document::digest() const {
  XXH3_state_t *State = XXH3_createState();
  XXH3_128bits_reset(State);
  for (const auto &[Kind, Objects] : ObjectsByKind) {
    for (const auto &[Name, Json] : Objects) {
      XXH3_128bits_update(State, Kind.data(), Kind.size() + 1);
      XXH3_128bits_update(State, Json.data(), Json.size() + 1);
    }
  }
  const XXH128_hash_t Hash = XXH3_128bits_digest(State);
  XXH3_freeState(State);
  char Text[33];
  std::snprintf(Text, sizeof Text, "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return Text;
}

read_result readDocument(std::string_view Json) {
  read_result Result;
  try {
    Poco::JSON::Parser Parser;
    Parser.setDepth(LargestDepth);
    const Poco::Dynamic::Var Value = Parser.parse(std::string(Json));
    if (Value.type() != typeid(Poco::JSON::Object::Ptr)) {
      Result.Errors.push_back({"/", "must be an object"});
      return Result;
    }
    readTop(Value.extract<Poco::JSON::Object::Ptr>(), Result);
  } catch (const Poco::Exception &Error) {
    Result.Errors.push_back({placeOfSyntaxError(Json, Error),
                             "is not valid JSON: " + Error.message()});
    return Result;
  }
  buildConfiguration(Result.Document, 0, Result.Errors);
  return Result;
}

std::string writeDocument(const document &Document) {
  constexpr unsigned Indent = 2;
  Poco::JSON::Object::Ptr Top = new Poco::JSON::Object;
  Top->set(std::string(FormatField), FormatVersion);
  for (const auto &[Kind, Objects] : Document.ObjectsByKind) {
    Poco::JSON::Array::Ptr Items = new Poco::JSON::Array;
    for (const auto &[Name, Json] : Objects) {
      Poco::JSON::Parser Parser;
      Items->add(Parser.parse(Json));
    }
    Top->set(Kind, Items);
  }
  std::ostringstream Out;
  Top->stringify(Out, Indent);
  return Out.str();
}

plan makePlan(const document &Current, std::uint64_t Version,
              const document &Wanted) {
  plan Plan;
  Plan.BaseVersion = Version;
  Plan.Digest = Wanted.digest();
  const document::object_map None;
  for (const std::string &Kind : KnownKinds) {
    auto Old = Current.ObjectsByKind.find(Kind);
    auto New = Wanted.ObjectsByKind.find(Kind);
    diffKind(Kind, Old == Current.ObjectsByKind.end() ? None : Old->second,
             New == Wanted.ObjectsByKind.end() ? None : New->second,
             Plan.Changes);
  }
  for (const object_change &Change : Plan.Changes) {
    Plan.SummaryLines.push_back(std::string(verb(Change.Kind)) + " " +
                                Change.ObjectKind + " " + Change.Name);
    if (Change.Kind == change_kind::Replace)
      describeFields(Current.ObjectsByKind.find(Change.ObjectKind)
                         ->second.find(Change.Name)
                         ->second,
                     Change.Json, Plan.SummaryLines);
  }
  std::vector<config_error> Errors;
  const auto Before = buildConfiguration(Current, Version, Errors);
  const auto After = buildConfiguration(Wanted, Version + 1, Errors);
  if (Before && After)
    describePools(*Before, *After, Plan.SummaryLines);
  return Plan;
}

} // namespace tamarack::config
