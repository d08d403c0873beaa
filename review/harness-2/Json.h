#pragma once

#include <cctype>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace review {

/** A JSON value, as far as the store's transactions need it. */
struct Json
{
    std::string text; ///< of a string, or the letters of a number or a word
    std::vector<Json> items;
    std::map<std::string, Json> fields;

    [[nodiscard]] long long number() const
    {
        return std::strtoll(this->text.c_str(), nullptr, 10);
    }
    [[nodiscard]] const Json &at(const std::string &name) const
    {
        static const Json none;
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? none : found->second;
    }
};

/** Reads one value; text that is no JSON gives an empty value. */
class JsonReader
{
public:
    explicit JsonReader(const std::string &source)
        : input(source)
    { }

    Json read()
    {
        Json value;
        this->skipSpace();
        if (this->position >= this->input.size())
            return value;
        const char first = this->input[this->position];
        if (first == '{') {
            ++this->position;
            while (this->more('}')) {
                const std::string name = this->string();
                this->skipSpace();
                ++this->position; // the colon
                value.fields[name] = this->read();
            }
        } else if (first == '[') {
            ++this->position;
            while (this->more(']'))
                value.items.push_back(this->read());
        } else if (first == '"') {
            value.text = this->string();
        } else {
            while (this->position < this->input.size()
                   && (std::isalnum(static_cast<unsigned char>(this->input[this->position])) != 0
                       || this->input[this->position] == '-' || this->input[this->position] == '.'
                       || this->input[this->position] == '+'))
                value.text += this->input[this->position++];
        }
        return value;
    }

private:
    void skipSpace()
    {
        while (this->position < this->input.size()
               && std::isspace(static_cast<unsigned char>(this->input[this->position])) != 0)
            ++this->position;
    }

    bool more(char end)
    {
        this->skipSpace();
        if (this->position < this->input.size() && this->input[this->position] == ',')
            ++this->position;
        this->skipSpace();
        if (this->position >= this->input.size())
            return false;
        if (this->input[this->position] != end)
            return true;
        ++this->position;
        return false;
    }

    std::string string()
    {
        this->skipSpace();
        std::string result;
        ++this->position; // the opening quote
        while (this->position < this->input.size() && this->input[this->position] != '"') {
            if (this->input[this->position] == '\\')
                ++this->position; // keys and base64 need no other escapes
            if (this->position < this->input.size())
                result += this->input[this->position++];
        }
        ++this->position;
        return result;
    }

    const std::string &input;
    std::size_t position = 0;
};

} // namespace review
