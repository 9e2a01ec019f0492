/** Tokens of the scenario language. The text after send or expect extends to the end of its line. */
lexer grammar ScriptLexer;

CASE    : 'case' ;
COVERS  : 'covers' ;
ON      : 'on' ;
EACH    : 'each' ;
IN      : 'in' ;
REPEAT  : 'repeat' ;
OPEN    : '{' ;
SHUT    : '}' ;
WAIT    : 'wait' ;
CLOSE   : 'close' ;
SEND    : 'send' -> pushMode(WORDS) ;
EXPECT  : 'expect' -> pushMode(WORDS) ;
NUMBER  : [0-9]+ ('.' [0-9]+)? ;
NAME    : [A-Za-z$] [A-Za-z0-9_-]* ;
STRING  : '"' (~["\\\r\n] | '\\' .)* '"' ;
COMMENT : '#' ~[\r\n]* -> skip ;
NL      : '\r'? '\n' ;
SPACE   : [ \t]+ -> skip ;
OTHER   : . ;

mode WORDS;
LEAD    : [ \t]+ -> skip ;
TEXT    : ~[ \t\r\n] ~[\r\n]* ;
END     : '\r'? '\n' -> type(NL), popMode ;
