#pragma once

#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace review {

struct Json
{
    enum Kind { Null, Bool, Number, String, Array, Object } kind = Null;
    double number = 0;
    std::string text;
    std::vector<Json> items;
    std::map<std::string, Json> members;

    const Json &at(const std::string &name) const
    {
        static const Json none;
        const auto found = this->members.find(name);
        return found == this->members.end() ? none : found->second;
    }

    static Json parse(const std::string &source)
    {
        std::size_t position = 0;
        return value(source, position);
    }

private:
    static void skip(const std::string &s, std::size_t &p)
    {
        while (p < s.size() && std::isspace(static_cast<unsigned char>(s[p])))
            ++p;
    }
    static std::string quoted(const std::string &s, std::size_t &p)
    {
        std::string out;
        ++p;
        while (p < s.size() && s[p] != '"') {
            if (s[p] == '\\' && p + 1 < s.size()) {
                ++p;
                if (s[p] == 'u') {
                    out += static_cast<char>(std::stoi(s.substr(p + 1, 4), nullptr, 16));
                    p += 4;
                } else {
                    out += s[p] == 'n' ? '\n' : s[p] == 't' ? '\t' : s[p];
                }
            } else {
                out += s[p];
            }
            ++p;
        }
        ++p;
        return out;
    }
    static Json value(const std::string &s, std::size_t &p)
    {
        Json json;
        skip(s, p);
        if (p >= s.size())
            return json;
        if (s[p] == '{') {
            json.kind = Object;
            ++p;
            skip(s, p);
            while (p < s.size() && s[p] != '}') {
                skip(s, p);
                const std::string key = quoted(s, p);
                skip(s, p);
                ++p; // colon
                json.members[key] = value(s, p);
                skip(s, p);
                if (p < s.size() && s[p] == ',')
                    ++p;
                skip(s, p);
            }
            ++p;
        } else if (s[p] == '[') {
            json.kind = Array;
            ++p;
            skip(s, p);
            while (p < s.size() && s[p] != ']') {
                json.items.push_back(value(s, p));
                skip(s, p);
                if (p < s.size() && s[p] == ',')
                    ++p;
                skip(s, p);
            }
            ++p;
        } else if (s[p] == '"') {
            json.kind = String;
            json.text = quoted(s, p);
        } else {
            std::size_t end = p;
            while (end < s.size() && std::string(",]} \n\r\t").find(s[end]) == std::string::npos)
                ++end;
            const std::string word = s.substr(p, end - p);
            json.kind = word == "true" || word == "false" ? Bool : word == "null" ? Null : Number;
            json.number = json.kind == Number ? std::atof(word.c_str()) : word == "true";
            p = end;
        }
        return json;
    }
};

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = static_cast<unsigned char>(bytes[i]) << 16;
        if (i + 1 < bytes.size())
            group |= static_cast<unsigned char>(bytes[i + 1]) << 8;
        if (i + 2 < bytes.size())
            group |= static_cast<unsigned char>(bytes[i + 2]);
        out += digits[group >> 18 & 63];
        out += digits[group >> 12 & 63];
        out += i + 1 < bytes.size() ? digits[group >> 6 & 63] : '=';
        out += i + 2 < bytes.size() ? digits[group & 63] : '=';
    }
    return out;
}

inline std::string percentDecoded(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

} // namespace review
