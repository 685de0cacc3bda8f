//! Parses the JSON bodies of the gateway's calls to the store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// Parses a text; none if it is malformed.
    pub fn parse(text: &str) -> Option<Value> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// Returns a field of an object.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    /// Returns a field that is a text, or an empty one.
    pub fn text(&self, key: &str) -> &str {
        match self.get(key) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a field that is a number, or 0.
    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Value::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    /// Returns a field that is a list, or an empty one.
    pub fn list(&self, key: &str) -> &[Value] {
        match self.get(key) {
            Some(Value::List(values)) => values,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let rest = self.bytes.get(self.at..)?;
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Value::Object(fields));
        }
        loop {
            self.skip_space();
            let key = self.text()?;
            self.take(b':')?;
            let value = self.value()?;
            fields.insert(key, value);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Value::Object(fields));
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take(b'[')?;
        let mut values = Vec::new();
        if self.take(b']').is_some() {
            return Some(Value::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Value::List(values));
            }
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        let is_part = |byte: &u8| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E');
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let decoded = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    let mut buffer = [0; 4];
                    bytes.extend_from_slice(decoded.encode_utf8(&mut buffer).as_bytes());
                }
                _ => bytes.push(byte),
            }
        }
    }
}
