// Reads the fields of one JSON object and collects every mistake.
#include "object_reader.hpp"

namespace tamarack::config {

object_reader::object_reader(Poco::JSON::Object::Ptr Object,
                             std::string Location,
                             std::vector<config_error> &Errors)
    : Object(std::move(Object)), Location(std::move(Location)), Errors(Errors) {
}

void object_reader::fail(const std::string &Field, std::string_view Text) {
  Errors.push_back({Location + "/" + Field, std::string(Text)});
}

bool object_reader::has(const std::string &Field) {
  Known.insert(Field);
  return Object->has(Field);
}

std::string object_reader::text(const std::string &Field,
                                std::string_view Default) {
  if (!has(Field))
    return std::string(Default);
  const Poco::Dynamic::Var Value = Object->get(Field);
  if (Value.isString())
    return Value.extract<std::string>();
  fail(Field, "must be a string");
  return std::string(Default);
}

std::string object_reader::requiredText(const std::string &Field) {
  std::string Value = text(Field, "");
  if (Value.empty())
    fail(Field, "is required and must not be empty");
  return Value;
}

std::int64_t object_reader::number(const std::string &Field,
                                   std::int64_t Default, std::int64_t Least,
                                   std::int64_t Largest) {
  if (!has(Field))
    return Default;
  const Poco::Dynamic::Var Value = Object->get(Field);
  if (!Value.isInteger() || Value.isBoolean()) {
    fail(Field, "must be a whole number");
    return Default;
  }
  try {
    const std::int64_t Number = Value.convert<std::int64_t>();
    if (Number >= Least && Number <= Largest)
      return Number;
  } catch (const Poco::Exception &) { // Falls through to the range error.
  }
  fail(Field, "must be from " + std::to_string(Least) + " to " +
                  std::to_string(Largest));
  return Default;
}

double object_reader::real(const std::string &Field, double Default,
                           double Least, double Largest) {
  if (!has(Field))
    return Default;
  const Poco::Dynamic::Var Value = Object->get(Field);
  if (!Value.isNumeric() || Value.isBoolean()) {
    fail(Field, "must be a number");
    return Default;
  }
  const double Number = Value.convert<double>();
  if (Number >= Least && Number <= Largest)
    return Number;
  fail(Field, "must be from " + std::to_string(Least) + " to " +
                  std::to_string(Largest));
  return Default;
}

bool object_reader::flag(const std::string &Field, bool Default) {
  if (!has(Field))
    return Default;
  const Poco::Dynamic::Var Value = Object->get(Field);
  if (Value.isBoolean())
    return Value.convert<bool>();
  fail(Field, "must be true or false");
  return Default;
}

Poco::JSON::Object::Ptr object_reader::object(const std::string &Field) {
  if (!has(Field))
    return {};
  if (Object->isObject(Field))
    return Object->getObject(Field);
  fail(Field, "must be an object");
  return {};
}

label_set object_reader::labels(const std::string &Field) {
  label_set Labels;
  const Poco::JSON::Object::Ptr Items = object(Field);
  if (Items.isNull())
    return Labels;
  for (const std::string &Name : Items->getNames()) {
    const Poco::Dynamic::Var Value = Items->get(Name);
    if (Value.isString())
      Labels[Name] = Value.extract<std::string>();
    else
      fail(Field + "/" + Name, "must be a string");
  }
  return Labels;
}

std::vector<std::string> object_reader::texts(const std::string &Field) {
  if (!has(Field))
    return {};
  return values(Field, Object->get(Field));
}

selector object_reader::selectorOf(const std::string &Field) {
  selector Selector;
  const Poco::JSON::Object::Ptr Items = object(Field);
  if (Items.isNull())
    return Selector;
  for (const std::string &Label : Items->getNames())
    Selector.Requirements.push_back(
        requirementOf(Field + "/" + Label, Label, Items->get(Label)));
  return Selector;
}

requirement object_reader::requirementOf(const std::string &At,
                                         const std::string &Label,
                                         const Poco::Dynamic::Var &Value) {
  requirement Item;
  Item.Label = Label;
  if (Value.type() != typeid(Poco::JSON::Object::Ptr)) {
    Item.Values = values(At, Value);
    return Item;
  }
  const Poco::JSON::Object::Ptr &Inner =
      Value.extract<Poco::JSON::Object::Ptr>();
  if (Inner->size() == 1 && Inner->has("not")) {
    Item.Negated = true;
    Item.Values = values(At + "/not", Inner->get("not"));
    return Item;
  }
  if (Inner->size() == 1 && Inner->has("exists") &&
      Inner->get("exists").isBoolean()) {
    Item.MustExist = Inner->get("exists").convert<bool>();
    Item.MustBeAbsent = !Item.MustExist;
    return Item;
  }
  fail(At, "must be a string, an array, {\"not\": ...} or {\"exists\": "
           "true|false}");
  return Item;
}

std::vector<std::string>
object_reader::values(const std::string &At, const Poco::Dynamic::Var &Value) {
  std::vector<std::string> Result;
  if (Value.isString()) {
    Result.push_back(Value.extract<std::string>());
    return Result;
  }
  if (Value.type() != typeid(Poco::JSON::Array::Ptr)) {
    fail(At, "must be a string or an array of strings");
    return Result;
  }
  const Poco::JSON::Array::Ptr &Items = Value.extract<Poco::JSON::Array::Ptr>();
  for (std::size_t Index = 0; Index < Items->size(); ++Index) {
    const Poco::Dynamic::Var Item = Items->get(static_cast<unsigned>(Index));
    if (Item.isString())
      Result.push_back(Item.extract<std::string>());
    else
      fail(At + "/" + std::to_string(Index), "must be a string");
  }
  return Result;
}

void object_reader::refuseUnknown() {
  for (const std::string &Name : Object->getNames())
    if (!Known.contains(Name))
      fail(Name, "is not a known field");
}

} // namespace tamarack::config
