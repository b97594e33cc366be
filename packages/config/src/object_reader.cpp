// Reads the fields of one JSON object and collects all errors.
#include "object_reader.hpp"

namespace tamarack::config {

object_reader::object_reader(Poco::JSON::Object::Ptr Object,
                             std::string Location,
                             std::vector<config_error> &Errors)
    : Object(std::move(Object)), Location(std::move(Location)), Errors(Errors) {
}

void object_reader::addError(const std::string &Field,
                             std::string_view Message) {
  Errors.push_back({Location + "/" + Field, std::string(Message)});
}

bool object_reader::hasField(const std::string &Field) {
  KnownFields.insert(Field);
  return Object->has(Field);
}

std::string object_reader::readString(const std::string &Field,
                                      std::string_view Default) {
  if (!hasField(Field))
    return std::string(Default);
  const Poco::Dynamic::Var Value = Object->get(Field);
  if (Value.isString())
    return Value.extract<std::string>();
  addError(Field, "must be a string");
  return std::string(Default);
}

std::string object_reader::readRequiredString(const std::string &Field) {
  std::string Value = readString(Field, "");
  if (Value.empty())
    addError(Field, "is required and must not be empty");
  return Value;
}

std::int64_t object_reader::readInteger(const std::string &Field,
                                        std::int64_t Default, std::int64_t Min,
                                        std::int64_t Max) {
  if (!hasField(Field))
    return Default;
  const Poco::Dynamic::Var Value = Object->get(Field);
  if (!Value.isInteger() || Value.isBoolean()) {
    addError(Field, "must be an integer");
    return Default;
  }
  try {
    const std::int64_t Number = Value.convert<std::int64_t>();
    if (Number >= Min && Number <= Max)
      return Number;
  } catch (const Poco::Exception &) { // Reported below as out of range.
  }
  addError(Field, "must be from " + std::to_string(Min) + " to " +
                      std::to_string(Max));
  return Default;
}

double object_reader::readNumber(const std::string &Field, double Default,
                                 double Min, double Max) {
  if (!hasField(Field))
    return Default;
  const Poco::Dynamic::Var Value = Object->get(Field);
  if (!Value.isNumeric() || Value.isBoolean()) {
    addError(Field, "must be a number");
    return Default;
  }
  const double Number = Value.convert<double>();
  if (Number >= Min && Number <= Max)
    return Number;
  addError(Field, "must be from " + std::to_string(Min) + " to " +
                      std::to_string(Max));
  return Default;
}

bool object_reader::readBoolean(const std::string &Field, bool Default) {
  if (!hasField(Field))
    return Default;
  const Poco::Dynamic::Var Value = Object->get(Field);
  if (Value.isBoolean())
    return Value.convert<bool>();
  addError(Field, "must be true or false");
  return Default;
}

Poco::JSON::Object::Ptr object_reader::readObject(const std::string &Field) {
  if (!hasField(Field))
    return {};
  if (Object->isObject(Field))
    return Object->getObject(Field);
  addError(Field, "must be an object");
  return {};
}

label_set object_reader::readLabels(const std::string &Field) {
  label_set Labels;
  const Poco::JSON::Object::Ptr Items = readObject(Field);
  if (Items.isNull())
    return Labels;
  for (const std::string &Name : Items->getNames()) {
    const Poco::Dynamic::Var Value = Items->get(Name);
    if (Value.isString())
      Labels[Name] = Value.extract<std::string>();
    else
      addError(Field + "/" + Name, "must be a string");
  }
  return Labels;
}

std::vector<std::string> object_reader::readStrings(const std::string &Field) {
  if (!hasField(Field))
    return {};
  return toStrings(Field, Object->get(Field));
}

selector object_reader::readSelector(const std::string &Field) {
  selector Selector;
  const Poco::JSON::Object::Ptr Items = readObject(Field);
  if (Items.isNull())
    return Selector;
  for (const std::string &Label : Items->getNames())
    Selector.Requirements.push_back(
        readRequirement(Field + "/" + Label, Label, Items->get(Label)));
  return Selector;
}

requirement object_reader::readRequirement(const std::string &Field,
                                           const std::string &Label,
                                           const Poco::Dynamic::Var &Value) {
  requirement Requirement;
  Requirement.Label = Label;
  if (Value.type() != typeid(Poco::JSON::Object::Ptr)) {
    Requirement.Values = toStrings(Field, Value);
    return Requirement;
  }
  const Poco::JSON::Object::Ptr &Condition =
      Value.extract<Poco::JSON::Object::Ptr>();
  if (Condition->size() == 1 && Condition->has("not")) {
    Requirement.Negated = true;
    Requirement.Values = toStrings(Field + "/not", Condition->get("not"));
    return Requirement;
  }
  if (Condition->size() == 1 && Condition->has("exists") &&
      Condition->get("exists").isBoolean()) {
    Requirement.MustExist = Condition->get("exists").convert<bool>();
    Requirement.MustBeAbsent = !Requirement.MustExist;
    return Requirement;
  }
  addError(Field, "must be a string, an array, {\"not\": ...} or {\"exists\": "
                  "true|false}");
  return Requirement;
}

std::vector<std::string>
object_reader::toStrings(const std::string &Field,
                         const Poco::Dynamic::Var &Value) {
  std::vector<std::string> Result;
  if (Value.isString()) {
    Result.push_back(Value.extract<std::string>());
    return Result;
  }
  if (Value.type() != typeid(Poco::JSON::Array::Ptr)) {
    addError(Field, "must be a string or an array of strings");
    return Result;
  }
  const Poco::JSON::Array::Ptr &Items = Value.extract<Poco::JSON::Array::Ptr>();
  for (std::size_t Index = 0; Index < Items->size(); ++Index) {
    const Poco::Dynamic::Var Item = Items->get(static_cast<unsigned>(Index));
    if (Item.isString())
      Result.push_back(Item.extract<std::string>());
    else
      addError(Field + "/" + std::to_string(Index), "must be a string");
  }
  return Result;
}

void object_reader::rejectUnknownFields() {
  for (const std::string &Field : Object->getNames())
    if (!KnownFields.contains(Field))
      addError(Field, "is not a known field");
}

} // namespace tamarack::config
