// Reads the fields of one JSON object and collects all errors.
#pragma once

#include "tamarack/config.hpp"

#include <Poco/JSON/Object.h>

#include <set>

namespace tamarack::config {

// For a missing field, the read functions return the default, or an empty value
// if there is no default. For an invalid field, they also add an error.
class object_reader {
public:
  // Location is the JSON pointer of Object. Errors are appended to Errors.
  object_reader(Poco::JSON::Object::Ptr Object, std::string Location,
                std::vector<config_error> &Errors);

  std::string readString(const std::string &Field, std::string_view Default);
  // A missing or empty string is an error.
  std::string readRequiredString(const std::string &Field);
  std::int64_t readInteger(const std::string &Field, std::int64_t Default,
                           std::int64_t Min, std::int64_t Max);
  double readNumber(const std::string &Field, double Default, double Min,
                    double Max);
  bool readBoolean(const std::string &Field, bool Default);
  label_set readLabels(const std::string &Field);
  selector readSelector(const std::string &Field);
  // Accepts a string or an array of strings.
  std::vector<std::string> readStrings(const std::string &Field);
  // Null for a missing or invalid field.
  Poco::JSON::Object::Ptr readObject(const std::string &Field);

  // Adds an error for each field that no read function has asked for. Call it
  // after all fields have been read.
  void rejectUnknownFields();

  void addError(const std::string &Field, std::string_view Message);

private:
  requirement readRequirement(const std::string &Field,
                              const std::string &Label,
                              const Poco::Dynamic::Var &Value);
  std::vector<std::string> toStrings(const std::string &Field,
                                     const Poco::Dynamic::Var &Value);
  // Marks the field as known and returns whether the object has the field.
  bool hasField(const std::string &Field);

  Poco::JSON::Object::Ptr Object;
  std::string Location;
  std::vector<config_error> &Errors;
  std::set<std::string> KnownFields;
};

} // namespace tamarack::config
