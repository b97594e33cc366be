// The JSON form of a document: parsing, writing, digest and plans.
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

constexpr int FormatVersion = 1;    // Required value of FormatField.
constexpr int MaxNestingDepth = 16; // Of JSON objects and arrays.
constexpr std::string_view FormatField = "tamarackhall";
const std::set<std::string, std::less<>> KnownKinds = {
    "accounts", "models", "services", "endpoints", "pools", "rules", "targets"};

// Canonical JSON: no spaces, and keys in sorted order as Poco's objects keep
// them by default.
std::string toCanonicalJson(const Poco::JSON::Object::Ptr &Object) {
  std::ostringstream Out;
  Object->stringify(Out);
  return Out.str();
}

void readObjectsOfKind(const std::string &Kind,
                       const Poco::JSON::Array::Ptr &Items,
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
      Result.Errors.push_back(
          {Location + "/name", "must be a non-empty string"});
      continue;
    }
    const bool IsNewName =
        Objects.emplace(Name.extract<std::string>(), toCanonicalJson(Object))
            .second;
    if (!IsNewName)
      Result.Errors.push_back(
          {Location + "/name",
           "\"" + Name.extract<std::string>() +
               "\" is the name of another object of this kind"});
  }
}

void readTopLevel(const Poco::JSON::Object::Ptr &Top, read_result &Result) {
  const Poco::Dynamic::Var Format = Top->get(std::string(FormatField));
  if (!Format.isInteger() || Format.convert<int>() != FormatVersion)
    Result.Errors.push_back(
        {"/tamarackhall", "must be 1, the version of the format"});
  for (const std::string &Field : Top->getNames()) {
    if (Field == FormatField)
      continue;
    if (!KnownKinds.contains(Field))
      Result.Errors.push_back({"/" + Field, "is not a known kind of object"});
    else if (!Top->isArray(Field))
      Result.Errors.push_back({"/" + Field, "must be an array"});
    else
      readObjectsOfKind(Field, Top->getArray(Field), Result);
  }
}

// "line N" if Poco's message contains the offset of the error, otherwise "/".
std::string locationOfSyntaxError(std::string_view Json,
                                  const Poco::Exception &Error) {
  const std::string &Text = Error.message();
  const std::size_t Offset = Text.find("offset");
  if (Offset != std::string::npos) {
    const std::size_t Digits = Text.find_first_of("0123456789", Offset);
    if (Digits != std::string::npos) {
      const std::size_t ErrorOffset =
          std::min<std::size_t>(std::stoul(Text.substr(Digits)), Json.size());
      const std::size_t Line =
          1 + static_cast<std::size_t>(
                  std::count(Json.begin(), Json.begin() + ErrorOffset, '\n'));
      return "line " + std::to_string(Line);
    }
  }
  return "/";
}

std::string_view verbOf(change_kind Kind) {
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

// Appends the changes that turn the objects Old of a kind into New.
void appendChangesOfKind(const std::string &Kind,
                         const document::object_map &Old,
                         const document::object_map &New,
                         std::vector<object_change> &Changes) {
  for (const auto &[Name, Json] : New) {
    auto OldObject = Old.find(Name);
    if (OldObject == Old.end())
      Changes.push_back({change_kind::Add, Kind, Name, Json});
    else if (OldObject->second != Json)
      Changes.push_back({change_kind::Replace, Kind, Name, Json});
  }
  for (const auto &[Name, Json] : Old)
    if (!New.contains(Name))
      Changes.push_back({change_kind::Remove, Kind, Name, ""});
}

// Appends the fields that differ between two versions of an object, as
// "field: old -> new".
void describeChangedFields(const std::string &Old, const std::string &New,
                           std::vector<std::string> &SummaryLines) {
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
    std::ostringstream OldText;
    std::ostringstream NewText;
    Poco::JSON::Stringifier::stringify(Before->get(Field), OldText);
    Poco::JSON::Stringifier::stringify(After->get(Field), NewText);
    if (OldText.str() != NewText.str())
      SummaryLines.push_back("  " + Field + ": " + OldText.str() + " -> " +
                             NewText.str());
  }
}

// Names of the endpoints of a pool that are not draining.
std::set<std::string> nonDrainingMemberNames(const configuration &Configuration,
                                             const std::string &Pool) {
  std::set<std::string> Names;
  for (const endpoint *Endpoint : Configuration.members(Pool))
    if (!Endpoint->Draining)
      Names.insert(Endpoint->Name);
  return Names;
}

// Appends the endpoints that enter or leave a pool. An endpoint that starts
// draining counts as leaving.
void describePoolMembers(const configuration &Old, const configuration &New,
                         std::vector<std::string> &SummaryLines) {
  for (const auto &[Name, Pool] : New.Pools) {
    const std::set<std::string> Before = nonDrainingMemberNames(Old, Name);
    const std::set<std::string> After = nonDrainingMemberNames(New, Name);
    for (const std::string &Member : After)
      if (!Before.contains(Member))
        SummaryLines.push_back("pool " + Name + " gains endpoint " + Member);
    for (const std::string &Member : Before)
      if (!After.contains(Member))
        SummaryLines.push_back("pool " + Name + " loses endpoint " + Member);
    if (After.empty())
      SummaryLines.push_back("pool " + Name +
                             " has no endpoint that takes work");
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
  char Text[33]; // 32 hex digits and the terminating null.
  std::snprintf(Text, sizeof Text, "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return Text;
}

read_result readDocument(std::string_view Json) {
  read_result Result;
  try {
    Poco::JSON::Parser Parser;
    Parser.setDepth(MaxNestingDepth);
    const Poco::Dynamic::Var Value = Parser.parse(std::string(Json));
    if (Value.type() != typeid(Poco::JSON::Object::Ptr)) {
      Result.Errors.push_back({"/", "must be an object"});
      return Result;
    }
    readTopLevel(Value.extract<Poco::JSON::Object::Ptr>(), Result);
  } catch (const Poco::Exception &Error) {
    Result.Errors.push_back({locationOfSyntaxError(Json, Error),
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
              const document &Proposed) {
  plan Plan;
  Plan.BaseVersion = Version;
  Plan.Digest = Proposed.digest();
  const document::object_map NoObjects;
  for (const std::string &Kind : KnownKinds) {
    auto Old = Current.ObjectsByKind.find(Kind);
    auto New = Proposed.ObjectsByKind.find(Kind);
    appendChangesOfKind(
        Kind, Old == Current.ObjectsByKind.end() ? NoObjects : Old->second,
        New == Proposed.ObjectsByKind.end() ? NoObjects : New->second,
        Plan.Changes);
  }
  for (const object_change &Change : Plan.Changes) {
    Plan.SummaryLines.push_back(std::string(verbOf(Change.Kind)) + " " +
                                Change.ObjectKind + " " + Change.Name);
    if (Change.Kind == change_kind::Replace)
      describeChangedFields(Current.ObjectsByKind.find(Change.ObjectKind)
                                ->second.find(Change.Name)
                                ->second,
                            Change.Json, Plan.SummaryLines);
  }
  std::vector<config_error> Errors;
  const auto Before = buildConfiguration(Current, Version, Errors);
  const auto After = buildConfiguration(Proposed, Version + 1, Errors);
  if (Before && After)
    describePoolMembers(*Before, *After, Plan.SummaryLines);
  return Plan;
}

} // namespace tamarack::config
