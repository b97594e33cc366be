// Encoding, decoding and folding of the records of the config stream.
//
// Records are JSON: {"change": {...}} or {"checkpoint": {...}}.
#include "tamarack/config.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <cassert>
#include <sstream>

namespace tamarack::config {

namespace {

constexpr std::size_t MaxStoredResults = 1024; // For resultOf().

std::string_view nameOf(change_kind Kind) {
  switch (Kind) {
  case change_kind::Add:
    return "add";
  case change_kind::Replace:
    return "replace";
  case change_kind::Remove:
    return "remove";
  }
  return "";
}

std::optional<change_kind> kindOf(std::string_view Name) {
  if (Name == "add")
    return change_kind::Add;
  if (Name == "replace")
    return change_kind::Replace;
  if (Name == "remove")
    return change_kind::Remove;
  return std::nullopt;
}

byte_string encode(const std::string &Field,
                   const Poco::JSON::Object::Ptr &Body) {
  Poco::JSON::Object Top;
  Top.set(Field, Body);
  std::ostringstream Out;
  Top.stringify(Out);
  const std::string Text = Out.str();
  return byte_string(Text.begin(), Text.end());
}

Poco::JSON::Object::Ptr parse(byte_view Body) {
  Poco::JSON::Parser Parser;
  const std::string Text(Body.begin(), Body.end());
  const Poco::Dynamic::Var Value = Parser.parse(Text);
  if (Value.type() != typeid(Poco::JSON::Object::Ptr))
    throw Poco::DataFormatException("record must be a JSON object");
  return Value.extract<Poco::JSON::Object::Ptr>();
}

object_change readObjectChange(const Poco::JSON::Object::Ptr &Item) {
  object_change Change;
  const std::optional<change_kind> Kind =
      kindOf(Item->getValue<std::string>("do"));
  if (!Kind)
    throw Poco::DataFormatException("unknown kind of change");
  Change.Kind = *Kind;
  Change.ObjectKind = Item->getValue<std::string>("kind");
  Change.Name = Item->getValue<std::string>("name");
  if (Change.Kind != change_kind::Remove)
    Change.Json = Item->getValue<std::string>("json");
  return Change;
}

config_change readChange(const Poco::JSON::Object::Ptr &Body) {
  config_change Change;
  Change.Id = Body->getValue<std::string>("id");
  Change.Author = Body->getValue<std::string>("author");
  Change.BaseVersion = Body->getValue<Poco::UInt64>("base");
  Change.Digest = Body->getValue<std::string>("digest");
  const Poco::JSON::Array::Ptr Items = Body->getArray("changes");
  if (Items.isNull())
    throw Poco::DataFormatException("changes must be an array");
  for (std::size_t Index = 0; Index < Items->size(); ++Index) {
    const Poco::JSON::Object::Ptr Item =
        Items->getObject(static_cast<unsigned>(Index));
    if (Item.isNull())
      throw Poco::DataFormatException("change must be an object");
    Change.Changes.push_back(readObjectChange(Item));
  }
  return Change;
}

// False if the object to add exists, or the object to replace or remove does
// not exist.
bool applyObjectChange(document &Document, const object_change &Change) {
  document::object_map &Objects = Document.ObjectsByKind[Change.ObjectKind];
  const bool Present = Objects.contains(Change.Name);
  if (Present == (Change.Kind == change_kind::Add))
    return false;
  if (Change.Kind == change_kind::Remove)
    Objects.erase(Change.Name);
  else
    Objects[Change.Name] = Change.Json;
  return true;
}

} // namespace

std::string_view toString(change_result Result) {
  switch (Result) {
  case change_result::Accepted:
    return "accepted";
  case change_result::Duplicate:
    return "repeated";
  case change_result::StaleBase:
    return "stale base";
  case change_result::WrongDigest:
    return "wrong digest";
  case change_result::Invalid:
    return "invalid";
  case change_result::Unreadable:
    return "unreadable";
  case change_result::Checkpoint:
    return "checkpoint";
  }
  return "";
}

byte_string encodeChange(const config_change &Change) {
  Poco::JSON::Array::Ptr Items = new Poco::JSON::Array;
  for (const object_change &Item : Change.Changes) {
    Poco::JSON::Object::Ptr Object = new Poco::JSON::Object;
    Object->set("do", std::string(nameOf(Item.Kind)));
    Object->set("kind", Item.ObjectKind);
    Object->set("name", Item.Name);
    if (Item.Kind != change_kind::Remove)
      Object->set("json", Item.Json);
    Items->add(Object);
  }
  Poco::JSON::Object::Ptr Body = new Poco::JSON::Object;
  Body->set("id", Change.Id);
  Body->set("author", Change.Author);
  Body->set("base", static_cast<Poco::UInt64>(Change.BaseVersion));
  Body->set("digest", Change.Digest);
  Body->set("changes", Items);
  return encode("change", Body);
}

byte_string encodeCheckpoint(const config_checkpoint &Checkpoint) {
  Poco::JSON::Object::Ptr Kinds = new Poco::JSON::Object;
  for (const auto &[Kind, Objects] : Checkpoint.Document.ObjectsByKind) {
    Poco::JSON::Object::Ptr Items = new Poco::JSON::Object;
    for (const auto &[Name, Json] : Objects)
      Items->set(Name, Json);
    Kinds->set(Kind, Items);
  }
  Poco::JSON::Object::Ptr Body = new Poco::JSON::Object;
  Body->set("upto", static_cast<Poco::UInt64>(Checkpoint.NextOffset));
  Body->set("version", static_cast<Poco::UInt64>(Checkpoint.Version));
  Body->set("last_id", Checkpoint.LastId);
  Body->set("kinds", Kinds);
  return encode("checkpoint", Body);
}

config_fold::config_fold()
    : ActiveConfiguration(std::make_shared<const configuration>()) {}

change_result config_fold::apply(std::uint64_t Offset, byte_view Body) {
  if (Offset < NextOffset)
    return change_result::Duplicate;
  assert(Offset == NextOffset && "no record may be skipped");
  NextOffset = Offset + 1;
  try {
    const Poco::JSON::Object::Ptr Top = parse(Body);
    if (Top->isObject("checkpoint"))
      return change_result::Checkpoint;
    if (!Top->isObject("change"))
      throw Poco::DataFormatException("neither a change nor a checkpoint");
    return applyChange(readChange(Top->getObject("change")));
  } catch (const Poco::Exception &) {
    ++UnreadableRecords;
    return change_result::Unreadable;
  }
}

change_result config_fold::applyChange(const config_change &Change) {
  const change_result Result = tryAccept(Change);
  if (Result == change_result::Duplicate)
    return Result;
  if (ResultById.emplace(Change.Id, Result).second)
    ResultIds.push_back(Change.Id);
  if (ResultIds.size() > MaxStoredResults) {
    ResultById.erase(ResultIds.front());
    ResultIds.erase(ResultIds.begin());
  }
  return Result;
}

// A reader that started from a checkpoint knows only the id of the last
// accepted change, but makes the same decisions as all other readers: a
// duplicate of an earlier accepted change is refused because its base version
// is stale.
change_result config_fold::tryAccept(const config_change &Change) {
  if (Change.Id == LastId)
    return change_result::Duplicate;
  if (Change.BaseVersion != Version)
    return change_result::StaleBase;
  document Proposed = CurrentDocument;
  for (const object_change &Item : Change.Changes)
    if (!applyObjectChange(Proposed, Item))
      return change_result::Invalid;
  if (Proposed.digest() != Change.Digest)
    return change_result::WrongDigest;
  std::vector<config_error> Errors;
  std::shared_ptr<const configuration> Configuration;
  try {
    Configuration = buildConfiguration(Proposed, Version + 1, Errors);
  } catch (const Poco::Exception &) {
    return change_result::Invalid;
  }
  if (!Configuration)
    return change_result::Invalid;
  CurrentDocument = std::move(Proposed);
  ++Version;
  LastId = Change.Id;
  ActiveConfiguration = std::move(Configuration);
  return change_result::Accepted;
}

bool config_fold::restore(byte_view Body, std::uint64_t OldestOffset) {
  try {
    const Poco::JSON::Object::Ptr Top = parse(Body);
    if (!Top->isObject("checkpoint"))
      return false;
    const Poco::JSON::Object::Ptr State = Top->getObject("checkpoint");
    const std::uint64_t CheckpointNextOffset =
        State->getValue<Poco::UInt64>("upto");
    const std::uint64_t CheckpointVersion =
        State->getValue<Poco::UInt64>("version");
    if (CheckpointNextOffset < std::max(NextOffset, OldestOffset) ||
        CheckpointVersion < Version)
      return false;
    document Document;
    const Poco::JSON::Object::Ptr Kinds = State->getObject("kinds");
    for (const std::string &Kind : Kinds->getNames()) {
      const Poco::JSON::Object::Ptr Items = Kinds->getObject(Kind);
      for (const std::string &Name : Items->getNames())
        Document.ObjectsByKind[Kind][Name] = Items->getValue<std::string>(Name);
    }
    std::vector<config_error> Errors;
    std::shared_ptr<const configuration> Configuration =
        buildConfiguration(Document, CheckpointVersion, Errors);
    if (!Configuration)
      return false;
    CurrentDocument = std::move(Document);
    Version = CheckpointVersion;
    NextOffset = CheckpointNextOffset;
    LastId = State->getValue<std::string>("last_id");
    ActiveConfiguration = std::move(Configuration);
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

config_checkpoint config_fold::makeCheckpoint() const {
  return {NextOffset, Version, LastId, CurrentDocument};
}

std::optional<change_result> config_fold::resultOf(std::string_view Id) const {
  auto Found = ResultById.find(Id);
  if (Found == ResultById.end())
    return std::nullopt;
  return Found->second;
}

} // namespace tamarack::config
